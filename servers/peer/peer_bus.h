#pragma once

#include "core/ids.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/peer_transport.h"
#include "peer.pb.h"
#include "servers/peer/control_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace hawthornslip {

/**
 * Serializes the messages between nodes and dispatches received ones to the handler of their kind.
 * All calls and handlers run on the control loop's thread.
 */
class PeerBus
{
public:
    using Body = peer::Envelope::BodyCase;
    using Handler = std::function<void(const NodeId &sender, const peer::Envelope &message)>;

    /**
     * @param self the id of this node; messages to it bypass the transport.
     * @param incarnation increases with each start of this node.
     */
    PeerBus(ControlLoop &loop, PeerTransport &transport, Metrics &metrics, NodeId self,
            std::uint64_t incarnation);

    /** Sets the handler for the messages of kind @p body. */
    void handle(Body body, Handler handler);

    /** Adds a function that is called with each message before its handler, e.g. for liveness. */
    void observe(Handler observer);

    /** Sets the configuration generation that is sent with each message. */
    void setConfigGeneration(std::uint64_t generation) { m_configGeneration = generation; }

    /** Sets the sender, sequence and generation fields of @p message and sends it to @p to. */
    void send(const NodeId &to, peer::Envelope message);

    const NodeId &self() const { return m_self; }
    std::uint64_t incarnation() const { return m_incarnation; }

private:
    void receive(const std::string &bytes);
    void dispatch(const peer::Envelope &message);

    ControlLoop &m_loop;
    PeerTransport &m_transport;
    Metrics &m_metrics;
    NodeId m_self;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_configGeneration = 0;
    std::map<Body, Handler> m_handlers;
    std::vector<Handler> m_observers;
};

} // namespace hawthornslip
