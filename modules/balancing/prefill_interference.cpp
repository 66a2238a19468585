#include "modules/balancing/prefill_interference.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// Prompts that are prefilled one after the other while a stream waits for its next event.
constexpr double kPromptsInARow = 2;
// Requests over which the moving averages of a route extend.
constexpr double kAveragedRequests = 32;
// A longer pause counts less than a shorter one, so that the average follows the pace of a stream
// while its engine prefills nothing.
constexpr double kShorterPauseSmoothing = 0.1;
constexpr double kLongerPauseSmoothing = 0.02;
// A route without a request for this long has been removed or is idle.
constexpr Duration kForgetAfter = seconds(60);

} // namespace

void PrefillInterference::onRequest(const std::string &route, Duration pauseObjective,
                                    double promptTokens, TimePoint now)
{
    forgetUnused(now);
    RouteLoad &load = m_routes[route];
    load.pauseObjective = pauseObjective;
    load.requests = std::min(load.requests + 1, kAveragedRequests);
    load.promptTokens += (promptTokens - load.promptTokens) / load.requests;
    load.lastRequestAt = now;
}

void PrefillInterference::onStream(const std::string &route, Duration meanPause)
{
    const auto it = m_routes.find(route);
    if (it == m_routes.end())
        return;
    double &mean = it->second.meanPauseSeconds;
    const double pause = toSeconds(meanPause);
    const double smoothing = pause < mean ? kShorterPauseSmoothing : kLongerPauseSmoothing;
    mean += (mean == 0 ? 1 : smoothing) * (pause - mean);
}

PauseTolerance PrefillInterference::toleranceOf(const std::string &route, Duration tightestPause,
                                                double prefillRate) const
{
    const auto own = m_routes.find(route);
    if (own == m_routes.end() || tightestPause <= Duration(0))
        return PauseTolerance::Sensitive;
    const bool isTightestKnown = std::any_of(m_routes.begin(), m_routes.end(), [&](const auto &it) {
        return it.second.pauseObjective == tightestPause;
    });
    RouteLoad tightest;
    tightest.pauseObjective = tightestPause;
    if (!isTightestKnown && interferes(own->second, tightest, prefillRate))
        return PauseTolerance::Tolerant;
    const bool disturbsOthers = std::any_of(m_routes.begin(), m_routes.end(), [&](const auto &it) {
        return it.first != route && interferes(own->second, it.second, prefillRate) &&
               !interferes(it.second, it.second, prefillRate);
    });
    return disturbsOthers ? PauseTolerance::Tolerant : PauseTolerance::Sensitive;
}

bool PrefillInterference::interferes(const RouteLoad &prompts, const RouteLoad &streams,
                                     double prefillRate)
{
    if (streams.pauseObjective <= Duration(0))
        return false;
    const double prefillSeconds = kPromptsInARow * prompts.promptTokens / prefillRate;
    return prefillSeconds + streams.meanPauseSeconds > toSeconds(streams.pauseObjective);
}

void PrefillInterference::forgetUnused(TimePoint now)
{
    if (now - m_forgottenAt < kForgetAfter)
        return;
    m_forgottenAt = now;
    std::erase_if(m_routes,
                  [now](const auto &it) { return now - it.second.lastRequestAt >= kForgetAfter; });
}

} // namespace hawthornslip
