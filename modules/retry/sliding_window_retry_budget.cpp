#include "modules/retry/sliding_window_retry_budget.h"

namespace hawthornslip {

SlidingWindowRetryBudget::SlidingWindowRetryBudget(double ratio, Duration window)
    : m_ratio(ratio)
    , m_bucketWidth(window / kBuckets)
{}

void SlidingWindowRetryBudget::onRequest(TimePoint now)
{
    ++bucketAt(now).requests;
}

bool SlidingWindowRetryBudget::tryTake(TimePoint now)
{
    if (available(now) < 1)
        return false;
    ++bucketAt(now).retries;
    return true;
}

double SlidingWindowRetryBudget::available(TimePoint now) const
{
    const std::int64_t index = bucketIndexAt(now);
    double requests = 0;
    double retries = 0;
    for (const auto &it : m_buckets) {
        const std::int64_t age = index - it.index;
        if (it.index < 0 || age < 0 || age > static_cast<std::int64_t>(kBuckets))
            continue;
        retries += it.retries;
        // Only part of the oldest bucket is in the window: its retries count, its requests don't.
        if (age < static_cast<std::int64_t>(kBuckets))
            requests += it.requests;
    }
    return m_ratio * requests - retries;
}

SlidingWindowRetryBudget::Bucket &SlidingWindowRetryBudget::bucketAt(TimePoint now)
{
    const std::int64_t index = bucketIndexAt(now);
    auto &bucket = m_buckets[static_cast<std::size_t>(index) % m_buckets.size()];
    if (bucket.index != index)
        bucket = Bucket{index, 0, 0};
    return bucket;
}

} // namespace hawthornslip
