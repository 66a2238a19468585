#include "modules/balancing/engine_partition.h"

#include <algorithm>
#include <cmath>

namespace hawthornslip {

namespace {

// Time constant of the averages: a node sees a few long prompts a second, and bursts last seconds.
constexpr double kMemorySeconds = 4;
// Part of the engines that long prompts keep when dialogues need more than there are.
constexpr double kLeastTolerant = 0.3;
// Engines by which the wanted boundary has to differ before it moves.
constexpr double kHysteresis = 0.75;
// The same as part of the engines: nodes that see slightly different loads keep the same boundary.
constexpr double kHysteresisPart = 0.03;
// Time constant for the engines that dialogues fill: their number varies from moment to moment.
constexpr double kNeededSeconds = 1.5;
// Below this share of the tokens a kind gets no engines of its own.
constexpr double kLeastShare = 0.005;

} // namespace

void EnginePartition::observe(PauseTolerance tolerance, double tokens, TimePoint now)
{
    fade(now);
    (tolerance == PauseTolerance::Tolerant ? m_tolerant : m_sensitive) += tokens;
}

std::size_t EnginePartition::tolerantEngines(std::size_t engines, double sensitiveNeeded,
                                             TimePoint now)
{
    smoothNeeded(sensitiveNeeded, now);
    const double all = m_sensitive + m_tolerant;
    if (engines < 2 || all <= 0)
        return engines;
    const double share = m_tolerant / all;
    if (share < kLeastShare)
        return 0;
    if (share > 1 - kLeastShare)
        return engines;
    const auto count = static_cast<double>(engines);
    const double left = std::max(count - m_needed, count * kLeastTolerant);
    const double wanted = std::clamp(std::min(share * count, left), 1.0, count - 1);
    const double step = std::max(kHysteresis, kHysteresisPart * count);
    // A boundary that moves takes the cached prompts of an engine out of use.
    if (m_engines != engines || std::abs(wanted - static_cast<double>(m_count)) > step)
        m_count = static_cast<std::size_t>(std::lround(wanted));
    m_engines = engines;
    return m_count;
}

void EnginePartition::smoothNeeded(double needed, TimePoint now)
{
    const double passed = std::max(0.0, toSeconds(now - m_neededAt));
    m_needed += (1 - std::exp(-passed / kNeededSeconds)) * (needed - m_needed);
    m_neededAt = now;
}

void EnginePartition::fade(TimePoint now)
{
    const double keep = std::exp(-std::max(0.0, toSeconds(now - m_fadedAt)) / kMemorySeconds);
    m_sensitive *= keep;
    m_tolerant *= keep;
    m_fadedAt = now;
}

} // namespace hawthornslip
