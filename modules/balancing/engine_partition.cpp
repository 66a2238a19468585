#include "modules/balancing/engine_partition.h"

#include <algorithm>
#include <cmath>

namespace hawthornslip {

namespace {

// A node gets a few long prompts per second, and bursts last seconds.
constexpr double kTokensTimeConstantSeconds = 4;
// The slots that sensitive requests need never shrink the tolerant partition below this fraction.
constexpr double kMinTolerantFraction = 0.3;
// The boundary moves only when it is more than this number of engines away from the wanted one.
constexpr double kHysteresisEngines = 0.75;
// The same as a fraction of the engines, so that nodes with slightly different views of the load
// keep the same boundary.
constexpr double kHysteresisFraction = 0.03;
// Smooths the fluctuating number of engines that sensitive requests fill.
constexpr double kNeededTimeConstantSeconds = 1.5;
// A kind of request with a smaller share of the prompt tokens gets no engines of its own.
constexpr double kMinTokenShare = 0.005;
// Fraction of a limit of requests that is used: permits which arise between requests are lost.
constexpr double kLimitUse = 0.6;

} // namespace

void EnginePartition::observe(PauseTolerance tolerance, double tokens, double requests,
                              TimePoint now)
{
    decay(now);
    if (tolerance == PauseTolerance::Sensitive) {
        m_sensitiveTokens += tokens;
        return;
    }
    m_tolerantTokens += tokens;
    m_tolerantRequests += requests;
}

std::size_t EnginePartition::tolerantEngines(std::size_t engines, const std::vector<double> &limits,
                                             double sensitiveNeeded, TimePoint now)
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
    const double proportional = enginesWithCapacity(share, engines, limits);
    const double wanted = std::clamp(std::min(proportional, left), 1.0, count - 1);
    const double step = std::max(kHysteresisEngines, kHysteresisFraction * count);
    // Moving the boundary makes the prefix cache of the engines that change sides useless.
    if (m_engines != engines || std::abs(wanted - static_cast<double>(m_tolerantEngines)) > step)
        m_tolerantEngines = static_cast<std::size_t>(std::lround(wanted));
    m_engines = engines;
    return m_tolerantEngines;
}

/** @return the number of engines, the first ones, that have @p share of the capacity of all. */
double EnginePartition::enginesWithCapacity(double share, std::size_t engines,
                                            const std::vector<double> &limits) const
{
    const auto count = static_cast<double>(engines);
    if (limits.empty() || m_tolerantRequests <= 0)
        return share * count;
    const double tokensPerRequest = m_tolerantTokens / m_tolerantRequests;
    const double tokensPerEngine =
            (m_sensitiveTokens + m_tolerantTokens) / kTokensTimeConstantSeconds / count;
    // Relative to that of an engine without a limit.
    const auto capacityOf = [&](double limit) {
        return std::min(1.0, kLimitUse * limit * tokensPerRequest / tokensPerEngine);
    };
    double capacity = count - static_cast<double>(limits.size());
    for (const double limit : limits)
        capacity += capacityOf(limit);
    double left = share * capacity;
    double taken = 0;
    for (const double limit : limits) {
        const double step = capacityOf(limit);
        if (left < step)
            return taken + left / step;
        left -= step;
        ++taken;
    }
    return taken + left;
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
    m_tolerantRequests *= keep;
    m_decayedAt = now;
}

} // namespace hawthornslip
