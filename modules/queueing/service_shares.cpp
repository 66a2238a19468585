#include "modules/queueing/service_shares.h"

#include <algorithm>

namespace hawthornslip {

EngineTime ServiceShares::engineTime(const std::string &route, double ownTokens, double prefillRate,
                                     std::uint32_t slots) const
{
    const auto prefill = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(ownTokens / std::max(1.0, prefillRate)));
    return {prefill, m_slotTimes.expected(route) / std::max<std::int64_t>(1, slots)};
}

void ServiceShares::onAsked(const SharedRequest &request, std::size_t engines, TimePoint now)
{
    if (request.workspace == 0)
        return;
    m_workspaces.onAsked(request.workspace, request.engineTime.total(), now);
    m_room.onAsked(request.engineTime, now);
    m_workspaces.setRoom(m_room.perSecond(engines));
}

void ServiceShares::onGiven(const SharedRequest &request, TimePoint now)
{
    if (request.workspace != 0)
        m_workspaces.onGiven(request.workspace, request.engineTime.total(), now);
}

} // namespace hawthornslip
