#pragma once

#include "core/interfaces/peer_transport.h"
#include "core/settings.h"
#include "core/time.h"

#include <boost/leaf.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace hawthornslip {

/** Why the peer transport did not start. */
enum class TransportError {
    /** A CURVE key is not a valid Z85 text of 40 characters. */
    InvalidKey,
    /** The listening address is in use or not an address of this VM. */
    BindFailed,
};

/** Bounds and times of the peer transport. */
struct TransportLimits
{
    /** Messages that wait for the transport's thread; more are dropped. */
    std::size_t maxWaiting = 10000;
    /** Messages that wait for one peer that is slow or not reachable; more are dropped. */
    int maxPerPeer = 1000;
    /** Open connections to peers; the one unused for the longest time is closed first. */
    std::size_t maxPeers = 1024;
    /** A connection without a message for this time is closed. */
    Duration idleTimeout = seconds(30);
};

/**
 * Carries messages between nodes over ZeroMQ with CURVE: one ROUTER that receives and one DEALER a
 * peer that sends. All sockets belong to one thread. Only peers whose public key is on the allow
 * list can connect. The nodes of a deployment use the same key pair; while keys are rotated, the
 * keys of the allow list are tried in turn as the key of the peer.
 */
class ZeromqTransport : public PeerTransport
{
public:
    explicit ZeromqTransport(PeerSettings settings, TransportLimits limits = {});
    /** Stops the thread as stop() does. */
    ~ZeromqTransport() override;

    ZeromqTransport(const ZeromqTransport &) = delete;
    ZeromqTransport &operator=(const ZeromqTransport &) = delete;

    /**
     * Binds the listening address, so that port() is known before the receiver is made; fails with
     * a TransportError.
     */
    boost::leaf::result<void> bind();

    /** Starts the thread, after bind() when that was not called; fails with a TransportError. */
    boost::leaf::result<void> start();

    /** Sends what waits, for at most 300 ms, closes all connections and ends the thread. */
    void stop();

    /** @return the port that is listened on, which the kernel chose when the setting is 0. */
    std::uint16_t port() const { return m_port; }

    /** @return the number of messages that were dropped because a queue was full. */
    std::uint64_t dropped() const { return m_dropped.load(std::memory_order_relaxed); }

    /** @return the number of open connections to peers. */
    std::size_t openPeers() const { return m_openPeers.load(std::memory_order_relaxed); }

    void setReceiver(Receiver receiver) override;
    void send(const NodeId &to, std::string bytes) override;
    void disconnect(const NodeId &node) override;

private:
    class Worker;

    /** A message to send, or an order to close the connection when it is not a message. */
    struct Command
    {
        NodeId node;
        std::string bytes;
        bool close = false;
    };

    void enqueue(Command command);

    PeerSettings m_settings;
    TransportLimits m_limits;
    Receiver m_receiver;
    std::uint16_t m_port = 0;
    std::atomic<std::uint64_t> m_dropped{0};
    std::atomic<std::size_t> m_openPeers{0};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::deque<Command> m_commands;
    int m_wakeFd = -1;
    std::unique_ptr<Worker> m_worker;
    std::thread m_thread;
};

} // namespace hawthornslip
