#include "modules/balancing/prefill_queue.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// Used until the first measurement; current engines prefill 50,000 to 70,000 tokens per second.
constexpr double kInitialTokensPerSecond = 50'000;
constexpr double kMinTokensPerSecond = 5'000;
constexpr double kMaxTokensPerSecond = 500'000;
constexpr double kSmoothingFactor = 0.05;
// Other requests can only delay a prefill, so the peak rate follows the faster ones.
constexpr double kFasterSmoothing = 0.1;
constexpr double kShorterOverheadSmoothing = 0.5;
constexpr double kSlowerSmoothing = 0.005;
// Share of the prefill rate that prompts may use. At 0.65 the mean decode step takes about three
// times as long as without prefill, so that long answers still end within their time limit.
constexpr double kPrefillShare = 0.65;
// The time of shorter prompts depends more on the fixed overhead than on the prefill rate.
constexpr double kMinMeasuredTokens = 2000;
// Time from sending a request to its first event when no token has to be prefilled.
constexpr Duration kFixedOverhead = milliseconds(45);

double clampRate(double tokensPerSecond)
{
    return std::clamp(tokensPerSecond, kMinTokensPerSecond, kMaxTokensPerSecond);
}

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

double PrefillQueue::tokensBefore(std::size_t urgency, TimePoint now) const
{
    const auto left = drainedAt(now);
    double before = 0;
    for (std::size_t i = 0; i <= std::min(urgency, kUrgencyLevels - 1); ++i)
        before += left[i];
    return before;
}

Duration PrefillQueue::wait(std::size_t urgency, TimePoint now) const
{
    const double waitSeconds = tokensBefore(urgency, now) / (m_tokensPerSecond * kPrefillShare);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(waitSeconds));
}

Duration PrefillQueue::timeToPrefill(double tokens) const
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(tokens / m_tokensPerSecond));
}

PrefillRateEstimator::PrefillRateEstimator()
    : m_tokensPerSecond(kInitialTokensPerSecond)
    , m_peakTokensPerSecond(kInitialTokensPerSecond)
    , m_overheadSeconds(toSeconds(kFixedOverhead))
{}

void PrefillRateEstimator::observe(double tokens, Duration timeToFirstEvent)
{
    if (tokens < kMinMeasuredTokens || timeToFirstEvent <= kFixedOverhead)
        return;
    const double rate = clampRate(tokens / toSeconds(timeToFirstEvent - kFixedOverhead));
    m_tokensPerSecond += kSmoothingFactor * (rate - m_tokensPerSecond);
}

void PrefillRateEstimator::observeCached(double tokens, Duration timeToFirstEvent)
{
    const double time = toSeconds(timeToFirstEvent);
    if (tokens < kMinMeasuredTokens) {
        const double overhead = std::max(0.0, time - tokens / m_peakTokensPerSecond);
        const bool isFaster = overhead < m_overheadSeconds;
        m_overheadSeconds += (isFaster ? kShorterOverheadSmoothing : kSlowerSmoothing) *
                             (overhead - m_overheadSeconds);
    } else if (time > 2 * m_overheadSeconds) {
        // Of a shorter prefill, an error of the overhead would be the larger part.
        const double rate = clampRate(tokens / (time - m_overheadSeconds));
        const bool isFaster = rate > m_peakTokensPerSecond;
        m_peakTokensPerSecond +=
                (isFaster ? kFasterSmoothing : kSlowerSmoothing) * (rate - m_peakTokensPerSecond);
    }
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
