#include "modules/selection/outlier_detector.h"

#include <algorithm>

namespace hawthornslip {

namespace {

constexpr std::uint32_t kFailuresInRow = 3;
constexpr double kSlowFactor = 2.5;
// A group that is far within its targets has no stragglers worth the loss of an upstream.
constexpr double kSlowAtLeast = 1.0;
constexpr std::uint32_t kMinSamples = 8;
constexpr double kGain = 0.15;
constexpr Duration kBaseEjection = seconds(5);
// Longer ones leave a recovered upstream idle; the few requests that test it cost less.
constexpr Duration kLongestEjection = seconds(15);
constexpr Duration kReturnTime = seconds(5);
constexpr double kReturnShare = 0.1;
// An upstream that ran well for this long is ejected for the base time again.
constexpr Duration kForgive = seconds(60);

} // namespace

void OutlierDetector::observeTime(std::size_t i, double ratioToTarget)
{
    State &state = m_states[i];
    const double gain = state.samples == 0 ? 1 : kGain;
    state.ratio += gain * (ratioToTarget - state.ratio);
    ++state.samples;
}

void OutlierDetector::observeFailure(std::size_t i)
{
    ++m_states[i].failuresInRow;
}

double OutlierDetector::medianRatio() const
{
    std::vector<double> ratios;
    for (const auto &it : m_states) {
        if (it.samples >= kMinSamples && !it.ejected)
            ratios.push_back(it.ratio);
    }
    if (ratios.empty())
        return 0;
    // The lower median: of two upstreams the faster one is the measure.
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>((ratios.size() - 1) / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return *middle;
}

OutlierKind OutlierDetector::kindOf(const State &state, double median) const
{
    if (state.failuresInRow >= kFailuresInRow)
        return OutlierKind::Failing;
    const bool slow = state.samples >= kMinSamples && median > 0 &&
                      state.ratio > kSlowFactor * median && state.ratio > kSlowAtLeast;
    return slow ? OutlierKind::Slow : OutlierKind::None;
}

std::vector<std::size_t> OutlierDetector::update(std::size_t usable, TimePoint now)
{
    std::size_t out = 0;
    for (auto &it : m_states) {
        if (it.ejected && now >= it.until) {
            it.ejected = false;
            it.returned = now;
        }
        if (it.ejections > 0 && !it.ejected && now - it.returned > kForgive)
            it.ejections = 0;
        out += it.ejected ? 1 : 0;
    }
    // A pair of upstreams may lose one: half is the least that still takes a failed one out.
    const std::size_t cap = usable < 2 ? 0 : std::max<std::size_t>(1, usable / 3);
    const double median = medianRatio();
    std::vector<std::size_t> ejected;
    // Failing upstreams go first, as the cap may not leave room for the slow ones.
    for (const auto kind : {OutlierKind::Failing, OutlierKind::Slow}) {
        for (std::size_t i = 0; i < m_states.size() && out < cap; ++i) {
            State &state = m_states[i];
            if (state.ejected || kindOf(state, median) != kind)
                continue;
            const auto factor = std::int64_t{1} << std::min(state.ejections, 6U);
            state.ejected = true;
            state.until = now + std::min(kLongestEjection, kBaseEjection * factor);
            ++state.ejections;
            state.failuresInRow = 0;
            state.samples = 0;
            ++out;
            ejected.push_back(i);
        }
    }
    return ejected;
}

double OutlierDetector::share(std::size_t i, TimePoint now) const
{
    const State &state = m_states[i];
    if (state.ejected)
        return 0;
    if (state.ejections == 0 || now - state.returned >= kReturnTime)
        return 1;
    const double passed = toSeconds(now - state.returned) / toSeconds(kReturnTime);
    return kReturnShare + (1 - kReturnShare) * std::max(0.0, passed);
}

} // namespace hawthornslip
