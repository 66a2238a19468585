#include "modules/queueing/service_shares.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// The held requests of all nodes compete for each place at an engine that comes free. When less
// than this fraction of a workspace's requests is admitted, those that find room on arrival are
// enough to use its share, and none is held.
constexpr double kMinHeldFraction = 0.5;

} // namespace

Duration ServiceShares::engineTime(const std::string &route, double ownTokens, double prefillRate,
                                   std::uint32_t slots) const
{
    const auto prefill = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(ownTokens / std::max(1.0, prefillRate)));
    return prefill + m_slotTimes.expected(route) / std::max<std::int64_t>(1, slots);
}

void ServiceShares::onAsked(const SharedRequest &request, TimePoint now)
{
    if (request.workspace == 0)
        return;
    m_workspaces.onAsked(request.workspace, request.engineTime, now);
    m_mix.onAsked(request.urgency, request.engineTime, now);
}

void ServiceShares::onGiven(const SharedRequest &request, TimePoint now)
{
    if (request.workspace != 0)
        m_workspaces.onGiven(request.workspace, request.engineTime, now);
}

ShareState ServiceShares::stateOf(const SharedRequest &request, TimePoint now)
{
    ShareState state;
    if (request.workspace == 0 || !m_workspaces.isAboveShare(request.workspace, now))
        return state;
    state.isAboveShare = true;
    const double admitted = m_workspaces.admittedFraction(request.workspace, now);
    const double held = (m_mix.admittedFraction(request.urgency, admitted) - kMinHeldFraction) /
                        (1 - kMinHeldFraction);
    state.isRefusedEarly = request.draw >= held;
    return state;
}

} // namespace hawthornslip
