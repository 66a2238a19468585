#include "servers/config/node_status_collector.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

constexpr auto kQueryInterval = milliseconds(200);
// Even a query without a wait needs time for the round trip to the nodes.
constexpr auto kMinWait = milliseconds(1000);

} // namespace

bool NodesInForce::all() const
{
    return std::all_of(nodes.begin(), nodes.end(), [](const auto &it) { return it.inForce; });
}

std::vector<NodeId> NodesInForce::missing() const
{
    std::vector<NodeId> list;
    for (const auto &it : nodes) {
        if (!it.inForce)
            list.push_back(it.node);
    }
    return list;
}

NodeStatusCollector::NodeStatusCollector(ControlLoop &loop, PeerBus &bus,
                                         MembershipSource &membership)
    : m_loop(loop)
    , m_bus(bus)
    , m_membership(membership)
{
    using Body = peer::Envelope::BodyCase;
    m_bus.handle(Body::kNodeStatusQuery, [this](const NodeId &sender, const auto &message) {
        onQuery(sender, message.node_status_query());
    });
    m_bus.handle(Body::kNodeStatus, [this](const NodeId &sender, const auto &message) {
        onStatus(sender, message.node_status());
    });
}

void NodeStatusCollector::queryNodes(std::uint64_t queryId, std::uint64_t generation, Duration wait,
                                     Done done)
{
    Poll &poll = m_polls[queryId];
    poll.generation = generation;
    poll.deadline = m_loop.now() + std::max<Duration>(wait, kMinWait);
    poll.done = std::move(done);
    sendQueries(queryId);
}

void NodeStatusCollector::sendQueries(std::uint64_t queryId)
{
    const auto it = m_polls.find(queryId);
    if (it == m_polls.end())
        return;
    const Poll &poll = it->second;
    if (m_loop.now() >= poll.deadline) {
        finish(queryId);
        return;
    }
    for (const auto &live : m_membership.liveNodes()) {
        const auto answer = poll.answers.find(live.node);
        if (answer != poll.answers.end() && answer->second.generation >= poll.generation)
            continue;
        peer::Envelope message;
        message.mutable_node_status_query()->set_query_id(queryId);
        m_bus.send(live.node, std::move(message));
    }
    m_loop.after(kQueryInterval, [this, queryId] { sendQueries(queryId); });
    // Finishes if the only nodes still missing are no longer live.
    finishIfAll(queryId);
}

void NodeStatusCollector::onQuery(const NodeId &sender, const peer::NodeStatusQuery &query)
{
    const NodeFacts facts = m_provider ? m_provider() : NodeFacts{};
    peer::Envelope message;
    auto &status = *message.mutable_node_status();
    status.set_query_id(query.query_id());
    status.set_generation(facts.generation);
    status.set_phase(facts.phase);
    status.set_streams(facts.streams);
    m_bus.send(sender, std::move(message));
}

void NodeStatusCollector::onStatus(const NodeId &sender, const peer::NodeStatus &status)
{
    const auto it = m_polls.find(status.query_id());
    if (it == m_polls.end())
        return;
    NodeFacts &facts = it->second.answers[sender];
    // Answers may arrive out of order; a node's generation never goes lower.
    if (facts.generation <= status.generation())
        facts = {status.generation(), status.phase(), status.streams()};
    finishIfAll(status.query_id());
}

void NodeStatusCollector::finishIfAll(std::uint64_t queryId)
{
    const auto it = m_polls.find(queryId);
    if (it != m_polls.end() && resultOf(it->second).all())
        finish(queryId);
}

void NodeStatusCollector::finish(std::uint64_t queryId)
{
    auto poll = m_polls.extract(queryId);
    poll.mapped().done(resultOf(poll.mapped()));
}

NodesInForce NodeStatusCollector::resultOf(const Poll &poll) const
{
    NodesInForce result;
    result.generation = poll.generation;
    for (const auto &live : m_membership.liveNodes()) {
        NodeReport report;
        report.node = live.node;
        const auto it = poll.answers.find(live.node);
        if (it != poll.answers.end()) {
            report.answered = true;
            report.facts = it->second;
            report.inForce = report.facts.generation >= poll.generation;
        }
        result.nodes.push_back(std::move(report));
    }
    return result;
}

} // namespace hawthornslip
