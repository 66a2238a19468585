#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "servers/membership/membership_source.h"
#include "servers/peer/control_loop.h"
#include "servers/peer/peer_bus.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hawthornslip {

/** The status that a node reports to other nodes. */
struct NodeFacts
{
    std::uint64_t generation = 0;
    /** Name of its lifecycle phase. */
    std::string phase;
    std::uint32_t streams = 0;
};

/** The answer of one live node to a status query. */
struct NodeReport
{
    NodeId node;
    bool answered = false;
    bool inForce = false;
    NodeFacts facts;
};

/** Which live nodes have a generation in force. */
struct NodesInForce
{
    std::uint64_t generation = 0;
    /** All live nodes, sorted by id. */
    std::vector<NodeReport> nodes;

    /** @return true when each live node has the generation in force. */
    bool all() const;

    /** @return the live nodes that did not report the generation or a higher one. */
    std::vector<NodeId> missing() const;
};

/**
 * Queries the live nodes for their status and answers their queries. Runs on the control loop's
 * thread.
 */
class NodeStatusCollector
{
public:
    using Done = std::function<void(const NodesInForce &)>;
    using Provider = std::function<NodeFacts()>;

    /** Registers with @p bus; all references must outlive this object. */
    NodeStatusCollector(ControlLoop &loop, PeerBus &bus, MembershipSource &membership);

    /** Sets the function that returns the status of this node. */
    void setProvider(Provider provider) { m_provider = std::move(provider); }

    /**
     * Queries the live nodes repeatedly until all have @p generation in force or @p wait has
     * passed.
     *
     * @param queryId must differ for each call on this node.
     * @param wait time limit; a limit below 1 s counts as 1 s.
     * @param done called once with the status of each live node.
     */
    void queryNodes(std::uint64_t queryId, std::uint64_t generation, Duration wait, Done done);

private:
    struct Poll
    {
        std::uint64_t generation = 0;
        TimePoint deadline;
        std::map<NodeId, NodeFacts> answers;
        Done done;
    };

    void onQuery(const NodeId &sender, const peer::NodeStatusQuery &query);
    void onStatus(const NodeId &sender, const peer::NodeStatus &status);
    void sendQueries(std::uint64_t queryId);
    void finishIfAll(std::uint64_t queryId);
    void finish(std::uint64_t queryId);
    NodesInForce resultOf(const Poll &poll) const;

    ControlLoop &m_loop;
    PeerBus &m_bus;
    MembershipSource &m_membership;
    Provider m_provider;
    std::map<std::uint64_t, Poll> m_polls;
};

} // namespace hawthornslip
