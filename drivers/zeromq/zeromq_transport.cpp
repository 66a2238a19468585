#include "drivers/zeromq/zeromq_transport.h"

#include "core/logger.h"
#include "drivers/zeromq/zeromq_worker.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>

namespace hawthornslip {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t kZ85KeyLength = 40;
constexpr std::size_t kRawKeyLength = 32;

bool isValidKey(const std::string &key)
{
    std::uint8_t raw[kRawKeyLength];
    return key.size() == kZ85KeyLength && zmq_z85_decode(raw, key.c_str()) != nullptr;
}

} // namespace

ZeromqTransport::ZeromqTransport(PeerSettings settings, TransportLimits limits)
    : m_settings(std::move(settings))
    , m_limits(limits)
    , m_wakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{}

ZeromqTransport::~ZeromqTransport()
{
    stop();
    close(m_wakeFd);
}

leaf::result<void> ZeromqTransport::bind()
{
    const auto &keys = m_settings.allowedKeys;
    if (!isValidKey(m_settings.curvePublicKey) || !isValidKey(m_settings.curveSecretKey) ||
        !std::all_of(keys.begin(), keys.end(), isValidKey))
        return leaf::new_error(TransportError::InvalidKey);
    auto worker = std::make_unique<Worker>(*this);
    try {
        m_port = worker->open();
    } catch (const zmq::error_t &error) {
        logEvent(LogLevel::Error, "peer_bind_failed", {{"error", error.what()}});
        return leaf::new_error(TransportError::BindFailed);
    }
    m_worker = std::move(worker);
    return {};
}

leaf::result<void> ZeromqTransport::start()
{
    if (!m_worker) {
        auto bound = bind();
        if (!bound)
            return bound.error();
    }
    m_stopping = false;
    m_thread = std::thread([this] { m_worker->run(); });
    return {};
}

void ZeromqTransport::stop()
{
    if (!m_thread.joinable())
        return;
    m_stopping = true;
    eventfd_write(m_wakeFd, 1);
    m_thread.join();
    m_worker.reset();
    m_openPeers = 0;
}

void ZeromqTransport::setReceiver(Receiver receiver)
{
    m_receiver = std::move(receiver);
}

void ZeromqTransport::send(const NodeId &to, std::string bytes)
{
    enqueue({to, std::move(bytes), false});
}

void ZeromqTransport::disconnect(const NodeId &node)
{
    enqueue({node, {}, true});
}

void ZeromqTransport::enqueue(Command command)
{
    bool wake = false;
    {
        const std::lock_guard lock(m_mutex);
        if (!command.close && m_commands.size() >= m_limits.maxWaiting) {
            m_dropped.fetch_add(1, std::memory_order_relaxed);
            return;
        }
        wake = m_commands.empty();
        m_commands.push_back(std::move(command));
    }
    // The worker takes all commands at once, so only the first needs to wake it.
    if (wake)
        eventfd_write(m_wakeFd, 1);
}

} // namespace hawthornslip
