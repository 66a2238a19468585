#include "modules/selection/outlier_detector.h"

#include <algorithm>

namespace hawthornslip {

namespace {

constexpr std::uint32_t kFailureThreshold = 3;
constexpr double kSlowFactor = 2.5;
// An upstream within its targets is not ejected as slow, as the lost capacity would cost more.
constexpr double kMinSlowRatio = 1.0;
constexpr std::uint32_t kMinSamples = 8;
constexpr double kSmoothingFactor = 0.15;
constexpr Duration kBaseEjection = seconds(5);
// A longer ejection leaves a recovered upstream idle; the few requests that probe it cost less.
constexpr Duration kMaxEjection = seconds(15);
constexpr Duration kRampUpTime = seconds(5);
constexpr double kInitialShare = 0.1;
// After this time without an ejection, the next one lasts kBaseEjection again.
constexpr Duration kEjectionCountReset = seconds(60);

} // namespace

void OutlierDetector::observeLatency(std::size_t i, double ratioToTarget)
{
    State &state = m_states[i];
    const double gain = state.samples == 0 ? 1 : kSmoothingFactor;
    state.latencyRatio += gain * (ratioToTarget - state.latencyRatio);
    ++state.samples;
}

void OutlierDetector::observeFailure(std::size_t i)
{
    ++m_states[i].consecutiveFailures;
}

double OutlierDetector::medianRatio() const
{
    std::vector<double> ratios;
    for (const auto &it : m_states) {
        if (it.samples >= kMinSamples && !it.ejected)
            ratios.push_back(it.latencyRatio);
    }
    if (ratios.empty())
        return 0;
    // The lower median, so that of two upstreams the faster one is the reference.
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>((ratios.size() - 1) / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return *middle;
}

OutlierKind OutlierDetector::classify(const State &state, double median) const
{
    if (state.consecutiveFailures >= kFailureThreshold)
        return OutlierKind::Failing;
    const bool slow = state.samples >= kMinSamples && median > 0 &&
                      state.latencyRatio > kSlowFactor * median &&
                      state.latencyRatio > kMinSlowRatio;
    return slow ? OutlierKind::Slow : OutlierKind::None;
}

std::vector<std::size_t> OutlierDetector::update(std::size_t usable, TimePoint now)
{
    std::size_t ejectedCount = 0;
    for (auto &it : m_states) {
        if (it.ejected && now >= it.ejectedUntil) {
            it.ejected = false;
            it.readmittedAt = now;
        }
        if (it.ejections > 0 && !it.ejected && now - it.readmittedAt > kEjectionCountReset)
            it.ejections = 0;
        ejectedCount += it.ejected ? 1 : 0;
    }
    // Of two upstreams one may be ejected, because otherwise a failed one would stay in use.
    const std::size_t cap = usable < 2 ? 0 : std::max<std::size_t>(1, usable / 3);
    const double median = medianRatio();
    std::vector<std::size_t> ejected;
    // Failing upstreams are ejected first, as the cap may not allow the slow ones too.
    for (const auto kind : {OutlierKind::Failing, OutlierKind::Slow}) {
        for (std::size_t i = 0; i < m_states.size() && ejectedCount < cap; ++i) {
            State &state = m_states[i];
            if (state.ejected || classify(state, median) != kind)
                continue;
            const auto factor = std::int64_t{1} << std::min(state.ejections, 6U);
            state.ejected = true;
            state.ejectedUntil = now + std::min(kMaxEjection, kBaseEjection * factor);
            ++state.ejections;
            state.consecutiveFailures = 0;
            state.samples = 0;
            ++ejectedCount;
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
    if (state.ejections == 0 || now - state.readmittedAt >= kRampUpTime)
        return 1;
    const double passed = toSeconds(now - state.readmittedAt) / toSeconds(kRampUpTime);
    return kInitialShare + (1 - kInitialShare) * std::max(0.0, passed);
}

} // namespace hawthornslip
