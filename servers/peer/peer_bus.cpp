#include "servers/peer/peer_bus.h"

#include "core/logger.h"
#include "core/metric_names.h"

#include <utility>

namespace hawthornslip {

namespace {

// The largest store object (1 MiB) and 64 KiB for its envelope.
constexpr std::size_t kMaxMessageBytes = (1U << 20) + (1U << 16);

std::string_view kindOf(const peer::Envelope &message)
{
    const auto *field = peer::Envelope::descriptor()->FindFieldByNumber(message.body_case());
    return field == nullptr ? std::string_view("none") : std::string_view(field->name());
}

} // namespace

PeerBus::PeerBus(ControlLoop &loop, PeerTransport &transport, Metrics &metrics, NodeId self,
                 std::uint64_t incarnation)
    : m_loop(loop)
    , m_transport(transport)
    , m_metrics(metrics)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
{
    m_transport.setReceiver(
            [this](const std::string &bytes) { m_loop.post([this, bytes] { receive(bytes); }); });
}

void PeerBus::handle(Body body, Handler handler)
{
    m_handlers[body] = std::move(handler);
}

void PeerBus::observe(Handler observer)
{
    m_observers.push_back(std::move(observer));
}

void PeerBus::send(const NodeId &to, peer::Envelope message)
{
    message.set_sender(m_self.value);
    message.set_incarnation(m_incarnation);
    message.set_sequence(++m_sequence);
    message.set_config_generation(m_configGeneration);
    if (to == m_self) {
        // Posted rather than called, so that a handler never runs within its caller's send().
        m_loop.post([this, message = std::move(message)] { dispatch(message); });
        return;
    }
    std::string bytes = message.SerializeAsString();
    const MetricLabels labels{{"direction", "out"}, {"kind", kindOf(message)}};
    m_metrics.count(metric::kPeerMessages, labels);
    m_metrics.count(metric::kPeerBytes, labels, static_cast<double>(bytes.size()));
    m_transport.send(to, std::move(bytes));
}

void PeerBus::receive(const std::string &bytes)
{
    peer::Envelope message;
    if (bytes.size() > kMaxMessageBytes || !message.ParseFromString(bytes) ||
        message.sender().empty()) {
        logEvent(LogLevel::Warning, "peer_message_invalid", {{"bytes", bytes.size()}});
        return;
    }
    const MetricLabels labels{{"direction", "in"}, {"kind", kindOf(message)}};
    m_metrics.count(metric::kPeerMessages, labels);
    m_metrics.count(metric::kPeerBytes, labels, static_cast<double>(bytes.size()));
    dispatch(message);
}

void PeerBus::dispatch(const peer::Envelope &message)
{
    const NodeId sender(message.sender());
    for (const auto &it : m_observers)
        it(sender, message);
    const auto it = m_handlers.find(message.body_case());
    if (it != m_handlers.end())
        it->second(sender, message);
}

} // namespace hawthornslip
