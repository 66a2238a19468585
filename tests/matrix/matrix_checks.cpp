// The checks of the invariants of docs/design.md, section 1.1.
#include "core/metric_names.h"
#include "tests/matrix/matrix_cluster.h"

#include <algorithm>

namespace hawthornslip::matrix {

namespace {

// How long an upstream may get new work after it was marked as leaving, and how long a node may
// take to adopt an accepted configuration. Both count from the end of faults that keep a node from
// hearing of it.
constexpr Duration kDrainLimit = seconds(3);
constexpr Duration kAdoptLimit = seconds(5);

} // namespace

void MatrixCluster::require(bool holds, const std::string &invariant, const std::string &what)
{
    if (!holds && m_violation.empty())
        m_violation = invariant + ": " + what;
}

int MatrixCluster::runsOf(const std::string &tag) const
{
    const auto it = m_runsByTag.find(tag);
    return it == m_runsByTag.end() ? 0 : it->second;
}

void MatrixCluster::noteRun(const std::string &url, const std::string &request,
                            const std::string &tag)
{
    ++m_runsByRequest[request];
    const int runs = ++m_runsByTag[tag];
    require(runs == 1 || !m_once.contains(tag), "I5", tag + " ran twice");
    require(!m_toldNotRun.contains(request), "I4", tag + " ran after its caller was told not_run");
    const auto drained = m_drainedAt.find(url);
    require(drained == m_drainedAt.end() || m_world.events.now() <= drained->second + kDrainLimit,
            "I6", url + " got new work while leaving");
    reached(0, Stage::Send, RequestId(request));
}

void MatrixCluster::noteOrder(const std::string &url, const test::EngineOrder &order)
{
    auto &highest = m_highestFencing[url];
    require(!order.accepted || order.fencing >= highest, "orders",
            url + " carried out an order of an earlier holder after one of a later holder");
    highest = std::max(highest, order.fencing);
}

// A paused node counts as well: its clock goes on, so its lease has to end.
int MatrixCluster::leaseHolder() const
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i]->alive() && m_nodes[i]->placement.leaseOf(FailureDomain(kDomain)))
            return static_cast<int>(i);
    }
    return -1;
}

void MatrixCluster::checkLease()
{
    const auto holders = std::count_if(m_nodes.begin(), m_nodes.end(), [](const auto &it) {
        return it->alive() && it->placement.leaseOf(FailureDomain(kDomain));
    });
    require(holders <= 1, "orders", "two nodes act as the holder of one lease");
}

void MatrixCluster::checkConfig()
{
    const bool late = m_world.events.now() > std::max(m_acceptedAt, m_excusedUntil) + kAdoptLimit;
    for (const auto &it : m_nodes) {
        if (!it->alive())
            continue;
        const auto generation = it->config.generation();
        auto &last = m_inForce[it->incarnation];
        require(generation >= last, "I8", it->self.value + " went back to an older configuration");
        last = generation;
        require(!late || !it->runs() || generation >= m_accepted, "I8",
                it->self.value + " has not adopted generation " + std::to_string(m_accepted));
        const auto author = m_authors.find(generation);
        require(author == m_authors.end() || it->config.current()->author == author->second, "I8",
                it->self.value + " has a configuration in force that lost");
    }
}

void MatrixCluster::checkCallers()
{
    for (const auto &it : m_nodes) {
        require(it->preempted[kOrderTier] == 0, "I1", "a stream of the order tier was preempted");
        require(it->metrics.total(metric::kInvariantViolations) == 0, "I1/I5",
                "a node counted a violation");
    }
    for (std::size_t i = m_firstOpen; i < m_callers.size(); ++i)
        checkCaller(*m_callers[i]);
    while (m_firstOpen < m_callers.size() && m_callers[m_firstOpen]->thread().ended())
        ++m_firstOpen;
}

void MatrixCluster::checkCaller(const MatrixCaller &caller)
{
    if (!caller.thread().ended())
        return;
    const auto &tag = caller.ask.tag;
    require(caller.fault.empty(), "I3", tag + ": " + caller.fault);
    require(caller.end != CallerEnd::Pending, "I3", tag + " got no end");
    if (caller.execution == Execution::NotRun) {
        m_toldNotRun.insert(caller.request.value);
        require(!m_runsByRequest.contains(caller.request.value), "I4",
                tag + " was told not_run and had run");
    }
    const bool orderTier = caller.ask.profile == "pickup" || caller.ask.profile == "order";
    require(!orderTier || caller.reason != Reason::DeadlineUnreachable, "I1",
            tag + " of the order tier was refused early");
    require(caller.end != CallerEnd::Broken || caller.nodeCrashed || !caller.node().stopping, "I7",
            tag + " was cut off by a planned stop");
}

void MatrixCluster::endNode(int n)
{
    for (const auto &it : m_callers)
        require(&it->node() != &node(n) || it->thread().ended(), "I7",
                it->ask.tag + " was cut off by a planned stop");
    crashNode(n);
}

void MatrixCluster::finishStops()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        auto &it = *m_nodes[i];
        if (!it.stopping || !it.runs())
            continue;
        const bool busy =
                std::any_of(m_callers.begin() + static_cast<std::ptrdiff_t>(m_firstOpen),
                            m_callers.end(), [&](const auto &caller) {
                                return &caller->node() == &it && !caller->thread().ended();
                            });
        // Outcomes that are not yet stored go with the process otherwise.
        if (!busy && it.claims.heldCount() == 0)
            endNode(static_cast<int>(i));
    }
}

} // namespace hawthornslip::matrix
