#include "modules/queueing/urgency_mix.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hawthornslip {

namespace {

// A single node gets a few requests of each level per second.
constexpr Duration kWindow = seconds(4);

} // namespace

void UrgencyMix::onAsked(std::size_t urgency, Duration engineTime, TimePoint now)
{
    const double left = std::exp(-toSeconds(now - m_updatedAt) / toSeconds(kWindow));
    for (auto &it : m_asked)
        it *= left;
    m_updatedAt = now;
    m_asked[std::min(urgency, kUrgencyLevels - 1)] += toSeconds(engineTime);
}

double UrgencyMix::admittedFraction(std::size_t urgency, double admitted) const
{
    const std::size_t level = std::min(urgency, kUrgencyLevels - 1);
    const auto own = m_asked.begin() + static_cast<std::ptrdiff_t>(level);
    if (*own <= 0)
        return 1;
    const double all = std::accumulate(m_asked.begin(), m_asked.end(), 0.0);
    const double moreUrgent = std::accumulate(m_asked.begin(), own, 0.0);
    return std::clamp((admitted * all - moreUrgent) / *own, 0.0, 1.0);
}

} // namespace hawthornslip
