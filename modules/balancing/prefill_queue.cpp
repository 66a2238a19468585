#include "modules/balancing/prefill_queue.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// Used until the first measurement; current engines prefill 50,000 to 70,000 tokens per second.
constexpr double kInitialTokensPerSecond = 50'000;
constexpr double kMinTokensPerSecond = 5'000;
constexpr double kMaxTokensPerSecond = 500'000;
constexpr double kSmoothingFactor = 0.05;
// Share of the prefill rate that prompts may use. At 0.65 the mean decode step takes about three
// times as long as without prefill, so that long answers still end within their time limit.
constexpr double kPrefillShare = 0.65;
// The time of shorter prompts depends more on the fixed overhead than on the prefill rate.
constexpr double kMinMeasuredTokens = 2000;
// Time from sending a request to its first event when no token has to be prefilled.
constexpr Duration kFixedOverhead = milliseconds(45);

} // namespace

PrefillQueue::PrefillQueue()
    : m_tokensPerSecond(kInitialTokensPerSecond)
{}

void PrefillQueue::add(std::size_t urgency, double tokens, TimePoint now)
{
    m_tokens = drainedAt(now);
    m_tokens[std::min(urgency, kUrgencyLevels - 1)] += tokens;
    m_updatedAt = now;
}

Duration PrefillQueue::wait(std::size_t urgency, TimePoint now) const
{
    const auto left = drainedAt(now);
    double before = 0;
    for (std::size_t i = 0; i <= std::min(urgency, kUrgencyLevels - 1); ++i)
        before += left[i];
    const double waitSeconds = before / (m_tokensPerSecond * kPrefillShare);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(waitSeconds));
}

Duration PrefillQueue::timeToPrefill(double tokens) const
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(tokens / m_tokensPerSecond));
}

PrefillRateEstimator::PrefillRateEstimator()
    : m_tokensPerSecond(kInitialTokensPerSecond)
{}

void PrefillRateEstimator::observe(double tokens, Duration timeToFirstEvent)
{
    if (tokens < kMinMeasuredTokens || timeToFirstEvent <= kFixedOverhead)
        return;
    const double rate = std::clamp(tokens / toSeconds(timeToFirstEvent - kFixedOverhead),
                                   kMinTokensPerSecond, kMaxTokensPerSecond);
    m_tokensPerSecond += kSmoothingFactor * (rate - m_tokensPerSecond);
}

TokensByUrgency<double> PrefillQueue::drainedAt(TimePoint now) const
{
    double drained =
            std::max(0.0, toSeconds(now - m_updatedAt)) * m_tokensPerSecond * kPrefillShare;
    auto left = m_tokens;
    for (auto &it : left) {
        const double part = std::min(it, drained);
        it -= part;
        drained -= part;
    }
    return left;
}

} // namespace hawthornslip
