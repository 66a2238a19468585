#include "modules/balancing/engine_partition.h"

#include <algorithm>
#include <cmath>

namespace hawthornslip {

namespace {

// Time constant of the averages: a node sees a few long prompts a second, and bursts last seconds.
constexpr double kTokensTimeConstantSeconds = 4;
// Part of the engines that long prompts keep when dialogues need more than there are.
constexpr double kMinTolerantFraction = 0.3;
// Engines by which the wanted boundary has to differ before it moves.
constexpr double kHysteresisEngines = 0.75;
// The same as part of the engines: nodes that see slightly different loads keep the same boundary.
constexpr double kHysteresisFraction = 0.03;
// Time constant for the engines that dialogues fill: their number varies from moment to moment.
constexpr double kNeededTimeConstantSeconds = 1.5;
// Below this share of the tokens a kind gets no engines of its own.
constexpr double kMinTokenShare = 0.005;

} // namespace

void EnginePartition::observe(PauseTolerance tolerance, double tokens, TimePoint now)
{
    decay(now);
    (tolerance == PauseTolerance::Tolerant ? m_tolerantTokens : m_sensitiveTokens) += tokens;
}

std::size_t EnginePartition::tolerantEngines(std::size_t engines, double sensitiveNeeded,
                                             TimePoint now)
{
    updateNeeded(sensitiveNeeded, now);
    const double all = m_sensitiveTokens + m_tolerantTokens;
    if (engines < 2 || all <= 0)
        return engines;
    const double share = m_tolerantTokens / all;
    if (share < kMinTokenShare)
        return 0;
    if (share > 1 - kMinTokenShare)
        return engines;
    const auto count = static_cast<double>(engines);
    const double left = std::max(count - m_neededEngines, count * kMinTolerantFraction);
    const double wanted = std::clamp(std::min(share * count, left), 1.0, count - 1);
    const double step = std::max(kHysteresisEngines, kHysteresisFraction * count);
    // A boundary that moves takes the cached prompts of an engine out of use.
    if (m_engines != engines || std::abs(wanted - static_cast<double>(m_tolerantEngines)) > step)
        m_tolerantEngines = static_cast<std::size_t>(std::lround(wanted));
    m_engines = engines;
    return m_tolerantEngines;
}

void EnginePartition::updateNeeded(double needed, TimePoint now)
{
    const double passed = std::max(0.0, toSeconds(now - m_neededAt));
    m_neededEngines +=
            (1 - std::exp(-passed / kNeededTimeConstantSeconds)) * (needed - m_neededEngines);
    m_neededAt = now;
}

void EnginePartition::decay(TimePoint now)
{
    const double keep =
            std::exp(-std::max(0.0, toSeconds(now - m_decayedAt)) / kTokensTimeConstantSeconds);
    m_sensitiveTokens *= keep;
    m_tolerantTokens *= keep;
    m_decayedAt = now;
}

} // namespace hawthornslip
