#include "drivers/zeromq/zeromq_worker.h"

#include "core/logger.h"

#include <sys/eventfd.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace hawthornslip {

namespace {

constexpr std::int64_t kMaxMessageBytes = (1 << 20) + (1 << 16);
constexpr std::size_t kRawKeyLength = 32;
constexpr auto kPollInterval = std::chrono::milliseconds(200);
constexpr auto kIdleCheckInterval = seconds(1);
// A refused peer tries again several times a second.
constexpr auto kRefusalLogInterval = seconds(10);
// A batch bound keeps a busy ROUTER from delaying the messages to send.
constexpr int kMessagesPerRound = 512;

// A restarted peer is found again within this time; the growing wait spares a peer that is gone.
constexpr int kReconnectMs = 50;
constexpr int kReconnectMaxMs = 400;
constexpr int kConnectTimeoutMs = 1000;
constexpr int kHandshakeTimeoutMs = 2000;
// Unacknowledged bytes close the connection after this time, so that a VM that was replaced under
// the same address without closing its connections is connected anew. Costs no traffic, unlike
// heartbeats of the protocol.
constexpr int kUnacknowledgedMs = 2000;
// Bounds how long a stop waits for messages to peers that are slow or gone.
constexpr int kFlushMs = 300;

// Frames of a request of the ZeroMQ authentication protocol (RFC 27).
constexpr std::size_t kZapVersion = 0;
constexpr std::size_t kZapRequestId = 1;
constexpr std::size_t kZapMechanism = 5;
constexpr std::size_t kZapKey = 6;
constexpr std::size_t kZapFrames = 7;

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

std::string rawKey(const std::string &z85)
{
    std::string raw(kRawKeyLength, '\0');
    zmq_z85_decode(reinterpret_cast<std::uint8_t *>(raw.data()), z85.c_str());
    return raw;
}

std::vector<std::string> readFrames(zmq::socket_t &socket)
{
    std::vector<std::string> frames;
    bool more = true;
    while (more) {
        zmq::message_t frame;
        if (!socket.recv(frame, zmq::recv_flags::dontwait))
            break;
        more = frame.more();
        frames.emplace_back(frame.data<char>(), frame.size());
    }
    return frames;
}

} // namespace

ZeromqTransport::Worker::Worker(ZeromqTransport &owner)
    : m_owner(owner)
    , m_context(1)
{
    const auto &settings = m_owner.m_settings;
    m_peerKeys.push_back(settings.curvePublicKey);
    for (const auto &it : settings.allowedKeys) {
        m_allowedRawKeys.push_back(rawKey(it));
        if (it != settings.curvePublicKey)
            m_peerKeys.push_back(it);
    }
    // Room for the DEALERs, their monitors and pipes.
    m_context.set(zmq::ctxopt::max_sockets, static_cast<int>(m_owner.m_limits.maxPeers) * 4 + 64);
}

std::uint16_t ZeromqTransport::Worker::open()
{
    const auto &settings = m_owner.m_settings;
    // Bound before the ROUTER, since without it ZeroMQ lets every key in.
    m_authentication = zmq::socket_t(m_context, zmq::socket_type::rep);
    m_authentication.set(zmq::sockopt::linger, 0);
    m_authentication.bind("inproc://zeromq.zap.01");
    m_router = zmq::socket_t(m_context, zmq::socket_type::router);
    m_router.set(zmq::sockopt::linger, 0);
    m_router.set(zmq::sockopt::curve_server, true);
    m_router.set(zmq::sockopt::curve_secretkey, settings.curveSecretKey);
    m_router.set(zmq::sockopt::zap_domain, "hawthornslip");
    m_router.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
    m_router.set(zmq::sockopt::rcvhwm, m_owner.m_limits.maxPerPeer);
    m_router.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
    const auto &listen = settings.listen;
    m_router.bind("tcp://" + listen.ip + ":" +
                  (listen.port == 0 ? std::string("*") : std::to_string(listen.port)));
    const std::string endpoint = m_router.get(zmq::sockopt::last_endpoint);
    return static_cast<std::uint16_t>(std::stoi(endpoint.substr(endpoint.rfind(':') + 1)));
}

void ZeromqTransport::Worker::run()
{
    m_lastIdleCheck = steadyNow();
    while (!m_owner.m_stopping) {
        std::vector<zmq::pollitem_t> items = {
                {nullptr, m_owner.m_wakeFd, ZMQ_POLLIN, 0},
                {m_authentication.handle(), 0, ZMQ_POLLIN, 0},
                {m_router.handle(), 0, ZMQ_POLLIN, 0},
        };
        for (auto &[node, peer] : m_peers) {
            if (peer.monitor)
                items.push_back({peer.monitor.handle(), 0, ZMQ_POLLIN, 0});
        }
        try {
            zmq::poll(items, kPollInterval);
            answerAuthentication();
            runCommands();
            receiveMessages();
            readMonitors();
            closeIdle();
        } catch (const zmq::error_t &error) {
            if (error.num() != EINTR)
                logEvent(LogLevel::Warning, "peer_transport_error", {{"error", error.what()}});
        }
    }
    flush();
}

void ZeromqTransport::Worker::flush()
{
    // The last messages tell the others that this node is gone.
    runCommands();
    for (auto &[node, peer] : m_peers)
        peer.dealer.set(zmq::sockopt::linger, kFlushMs);
}

void ZeromqTransport::Worker::runCommands()
{
    // Cleared before the commands are taken: one that arrives in between wakes the poll again.
    eventfd_t ignored = 0;
    eventfd_read(m_owner.m_wakeFd, &ignored);
    std::deque<Command> commands;
    {
        const std::lock_guard lock(m_owner.m_mutex);
        commands.swap(m_owner.m_commands);
    }
    for (const auto &it : commands) {
        if (!it.close) {
            deliver(it);
            continue;
        }
        const auto peer = m_peers.find(it.node);
        if (peer != m_peers.end())
            removePeer(peer);
    }
}

void ZeromqTransport::Worker::deliver(const Command &command)
{
    Peer *peer = peerFor(command.node);
    if (peer == nullptr ||
        !peer->dealer.send(zmq::buffer(command.bytes), zmq::send_flags::dontwait)) {
        m_owner.m_dropped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    peer->lastUsed = steadyNow();
}

ZeromqTransport::Worker::Peer *ZeromqTransport::Worker::peerFor(const NodeId &node)
{
    const auto it = m_peers.find(node);
    if (it != m_peers.end())
        return &it->second;
    makeRoom();
    Peer peer;
    peer.lastUsed = steadyNow();
    if (!openPeer(peer, node))
        return nullptr;
    m_owner.m_openPeers.fetch_add(1, std::memory_order_relaxed);
    return &m_peers.emplace(node, std::move(peer)).first->second;
}

bool ZeromqTransport::Worker::openPeer(Peer &peer, const NodeId &node)
{
    try {
        peer.monitor.close();
        zmq::socket_t dealer(m_context, zmq::socket_type::dealer);
        dealer.set(zmq::sockopt::linger, 0);
        dealer.set(zmq::sockopt::curve_serverkey, m_peerKeys[peer.keyIndex]);
        dealer.set(zmq::sockopt::curve_publickey, m_owner.m_settings.curvePublicKey);
        dealer.set(zmq::sockopt::curve_secretkey, m_owner.m_settings.curveSecretKey);
        dealer.set(zmq::sockopt::sndhwm, m_owner.m_limits.maxPerPeer);
        dealer.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
        dealer.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
        dealer.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
        dealer.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
        dealer.set(zmq::sockopt::tcp_maxrt, kUnacknowledgedMs);
        if (m_peerKeys.size() > 1) {
            const std::string address = "inproc://monitor-" + std::to_string(++m_monitorCount);
            if (zmq_socket_monitor(dealer.handle(), address.c_str(),
                                   ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL) != 0)
                throw zmq::error_t();
            peer.monitor = zmq::socket_t(m_context, zmq::socket_type::pair);
            peer.monitor.set(zmq::sockopt::linger, 0);
            peer.monitor.connect(address);
        }
        dealer.connect("tcp://" + node.value);
        peer.dealer = std::move(dealer);
        return true;
    } catch (const zmq::error_t &error) {
        logEvent(LogLevel::Warning, "peer_connect_failed",
                 {{"node", node.value}, {"error", error.what()}});
        return false;
    }
}

void ZeromqTransport::Worker::receiveMessages()
{
    for (int n = 0; n < kMessagesPerRound; ++n) {
        const auto frames = readFrames(m_router);
        if (frames.empty())
            return;
        // The first frame names the connection.
        if (frames.size() == 2 && m_owner.m_receiver)
            m_owner.m_receiver(frames[1]);
    }
}

void ZeromqTransport::Worker::answerAuthentication()
{
    while (true) {
        const auto frames = readFrames(m_authentication);
        if (frames.empty())
            return;
        const bool allowed = frames.size() == kZapFrames && frames[kZapMechanism] == "CURVE" &&
                             std::find(m_allowedRawKeys.begin(), m_allowedRawKeys.end(),
                                       frames[kZapKey]) != m_allowedRawKeys.end();
        if (!allowed)
            noteRefusal();
        const std::string id = frames.size() > kZapRequestId ? frames[kZapRequestId] : "";
        const std::vector<std::string> reply = {frames[kZapVersion],
                                                id,
                                                allowed ? "200" : "400",
                                                allowed ? "OK" : "key not allowed",
                                                "",
                                                ""};
        for (std::size_t i = 0; i < reply.size(); ++i) {
            const auto more =
                    i + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
            m_authentication.send(zmq::buffer(reply[i]), more);
        }
    }
}

void ZeromqTransport::Worker::noteRefusal()
{
    ++m_refusals;
    const TimePoint now = steadyNow();
    if (now - m_lastRefusalLog < kRefusalLogInterval)
        return;
    m_lastRefusalLog = now;
    logEvent(LogLevel::Warning, "peer_key_refused", {{"count", std::exchange(m_refusals, 0)}});
}

void ZeromqTransport::Worker::readMonitors()
{
    for (auto &[node, peer] : m_peers) {
        if (!peer.monitor)
            continue;
        bool failed = false;
        while (!readFrames(peer.monitor).empty())
            failed = true;
        if (!failed)
            continue;
        // A peer that cannot decrypt the greeting closes the connection without a reason.
        peer.keyIndex = (peer.keyIndex + 1) % m_peerKeys.size();
        openPeer(peer, node);
    }
}

void ZeromqTransport::Worker::closeIdle()
{
    const TimePoint now = steadyNow();
    if (now - m_lastIdleCheck < kIdleCheckInterval)
        return;
    m_lastIdleCheck = now;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const auto current = it++;
        if (now - current->second.lastUsed >= m_owner.m_limits.idleTimeout)
            removePeer(current);
    }
}

void ZeromqTransport::Worker::makeRoom()
{
    if (m_peers.size() < m_owner.m_limits.maxPeers)
        return;
    removePeer(std::min_element(m_peers.begin(), m_peers.end(), [](const auto &a, const auto &b) {
        return a.second.lastUsed < b.second.lastUsed;
    }));
}

void ZeromqTransport::Worker::removePeer(std::map<NodeId, Peer>::iterator it)
{
    m_peers.erase(it);
    m_owner.m_openPeers.fetch_sub(1, std::memory_order_relaxed);
}

} // namespace hawthornslip
