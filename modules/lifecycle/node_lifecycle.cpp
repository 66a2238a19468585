#include "modules/lifecycle/node_lifecycle.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

using namespace lifecycle; // NOLINT(google-build-using-namespace)

NodeLifecycle::NodeLifecycle(Duration balancerNotice)
    : m_balancerNotice(balancerNotice)
{}

Actions NodeLifecycle::handle(const Event &event, TimePoint now)
{
    std::visit([&](const auto &it) { on(it, now); }, event);
    becomeReadyIfPossible();
    return std::exchange(m_actions, {});
}

void NodeLifecycle::on(const StoreRead &event, TimePoint)
{
    m_storeHasDocument = event.present;
}

void NodeLifecycle::on(const CandidatesListed &event, TimePoint)
{
    m_candidates = event.nodes;
}

void NodeLifecycle::on(const GenerationReported &event, TimePoint)
{
    if (m_phase != NodePhase::Starting)
        return;
    auto &generation = m_reportedGenerations[event.node];
    generation = std::max(generation, event.generation);
}

void NodeLifecycle::on(const GenerationAdopted &event, TimePoint)
{
    m_generation = std::max(m_generation, event.generation);
}

void NodeLifecycle::on(const StopRequested &, TimePoint now)
{
    if (m_phase == NodePhase::Draining || m_phase == NodePhase::Stopped)
        return;
    // The load balancer sends no requests to a node that was never ready.
    m_refuseFrom = m_phase == NodePhase::Ready ? now + m_balancerNotice : now;
    enter(NodePhase::Draining);
    m_actions.emplace_back(AnnounceLeaving{});
}

void NodeLifecycle::on(const Tick &event, TimePoint now)
{
    if (m_phase != NodePhase::Draining || now < m_refuseFrom)
        return;
    if (m_takesRequests) {
        m_takesRequests = false;
        m_actions.emplace_back(RefuseNewRequests{});
        // A request may have been accepted after event.active was counted.
        return;
    }
    if (event.active > 0)
        return;
    m_actions.emplace_back(AnnounceStopped{});
    enter(NodePhase::Stopped);
}

void NodeLifecycle::enter(NodePhase phase)
{
    m_phase = phase;
    m_actions.emplace_back(PhaseChanged{phase});
}

void NodeLifecycle::becomeReadyIfPossible()
{
    if (m_phase != NodePhase::Starting)
        return;
    if (!hasStoreConfiguration() && !hasMajorityConfiguration())
        return;
    m_reportedGenerations.clear();
    m_takesRequests = true;
    enter(NodePhase::Ready);
}

bool NodeLifecycle::hasStoreConfiguration() const
{
    // A document that was not adopted is invalid for this version of the program.
    return m_storeHasDocument && (!*m_storeHasDocument || m_generation > 0);
}

bool NodeLifecycle::hasMajorityConfiguration() const
{
    if (!m_candidates || m_generation == 0)
        return false;
    std::size_t confirmations = 1;
    std::uint64_t highest = 0;
    for (const auto &[node, generation] : m_reportedGenerations) {
        highest = std::max(highest, generation);
        // A node without a configuration is still starting and cannot confirm a generation.
        const bool counts = generation > 0 && std::find(m_candidates->begin(), m_candidates->end(),
                                                        node) != m_candidates->end();
        confirmations += counts ? 1 : 0;
    }
    const std::size_t deploymentSize = m_candidates->size() + 1;
    return 2 * confirmations > deploymentSize && m_generation >= highest;
}

} // namespace hawthornslip
