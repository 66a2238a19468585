#pragma once

#include "core/time.h"
#include "drivers/zeromq/zeromq_transport.h"

#include <zmq.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip {

/** The sockets of a ZeromqTransport and what its thread does with them. */
class ZeromqTransport::Worker
{
public:
    explicit Worker(ZeromqTransport &owner);

    /** Opens the sockets; throws zmq::error_t. @return the port that was bound. */
    std::uint16_t open();

    /** Runs until the transport stops. */
    void run();

private:
    void flush();

    /** A connection to one peer. */
    struct Peer
    {
        zmq::socket_t dealer;
        /** Reports failed handshakes; only open while several keys are possible. */
        zmq::socket_t monitor;
        TimePoint lastUsed;
        std::size_t keyIndex = 0;
    };

    void runCommands();
    void deliver(const Command &command);
    void receiveMessages();
    void answerAuthentication();
    void noteRefusal();
    void readMonitors();
    void closeIdle();
    void makeRoom();
    bool openPeer(Peer &peer, const NodeId &node);
    Peer *peerFor(const NodeId &node);
    void removePeer(std::map<NodeId, Peer>::iterator it);

    ZeromqTransport &m_owner;
    zmq::context_t m_context;
    zmq::socket_t m_authentication;
    zmq::socket_t m_router;
    std::map<NodeId, Peer> m_peers;
    /** Public keys that a peer may have, this node's own first. */
    std::vector<std::string> m_peerKeys;
    std::vector<std::string> m_allowedRawKeys;
    TimePoint m_lastIdleCheck;
    std::uint64_t m_monitorCount = 0;
    std::uint64_t m_refusals = 0;
    TimePoint m_lastRefusalLog;
};

} // namespace hawthornslip
