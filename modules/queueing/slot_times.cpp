#include "modules/queueing/slot_times.h"

namespace hawthornslip {

namespace {

constexpr double kSmoothingFactor = 0.05;

} // namespace

void SlotTimes::observe(const std::string &route, Duration time)
{
    const auto [it, isFirst] = m_times.try_emplace(route, toSeconds(time));
    if (!isFirst)
        it->second += kSmoothingFactor * (toSeconds(time) - it->second);
}

Duration SlotTimes::expected(const std::string &route) const
{
    const auto it = m_times.find(route);
    return it == m_times.end() ? Duration(0)
                               : std::chrono::duration_cast<Duration>(
                                         std::chrono::duration<double>(it->second));
}

} // namespace hawthornslip
