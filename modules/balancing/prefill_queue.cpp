#include "modules/balancing/prefill_queue.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// Before the first measurement; engines of today read 50,000 to 70,000 tokens a second.
constexpr double kFirstRate = 50'000;
constexpr double kLowestRate = 5'000;
constexpr double kHighestRate = 500'000;
constexpr double kGain = 0.05;
// Part of the reading rate that prompts may use. At 0.65 the mean step is about three times that
// without prompts, so that long answers still end within their time limit.
constexpr double kUsedPart = 0.65;
// Shorter prompts tell more of the engine's fixed times than of its rate.
constexpr double kLeastTokens = 2000;
// From sending to the first event for a prompt without tokens to read.
constexpr Duration kFixedTime = milliseconds(45);

} // namespace

PrefillQueue::PrefillQueue()
    : m_tokensPerSecond(kFirstRate)
{}

void PrefillQueue::add(std::size_t level, double tokens, TimePoint now)
{
    m_tokens = drainedAt(now);
    m_tokens[std::min(level, kUrgencyLevels - 1)] += tokens;
    m_at = now;
}

Duration PrefillQueue::wait(std::size_t level, TimePoint now) const
{
    const auto left = drainedAt(now);
    double before = 0;
    for (std::size_t i = 0; i <= std::min(level, kUrgencyLevels - 1); ++i)
        before += left[i];
    const double waitSeconds = before / (m_tokensPerSecond * kUsedPart);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(waitSeconds));
}

Duration PrefillQueue::readTime(double tokens) const
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(tokens / m_tokensPerSecond));
}

ReadingRate::ReadingRate()
    : m_tokensPerSecond(kFirstRate)
{}

void ReadingRate::observe(double tokens, Duration took)
{
    if (tokens < kLeastTokens || took <= kFixedTime)
        return;
    const double rate =
            std::clamp(tokens / toSeconds(took - kFixedTime), kLowestRate, kHighestRate);
    m_tokensPerSecond += kGain * (rate - m_tokensPerSecond);
}

TokensByLevel<double> PrefillQueue::drainedAt(TimePoint now) const
{
    double drained = std::max(0.0, toSeconds(now - m_at)) * m_tokensPerSecond * kUsedPart;
    auto left = m_tokens;
    for (auto &it : left) {
        const double part = std::min(it, drained);
        it -= part;
        drained -= part;
    }
    return left;
}

} // namespace hawthornslip
