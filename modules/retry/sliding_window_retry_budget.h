#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hawthornslip {

/**
 * A node's part of the budget of retries that all nodes share: a fraction of the requests that the
 * node itself took within a sliding window. The parts of all nodes together stay below the same
 * fraction of all requests, however many nodes there are, so that they need not talk.
 */
class SlidingWindowRetryBudget
{
public:
    /**
     * @param ratio retries allowed for each request.
     * @param window length of any span in which the ratio holds.
     */
    SlidingWindowRetryBudget(double ratio, Duration window);

    /** Changes the retries allowed for each request; what was counted stays. */
    void setRatio(double ratio) { m_ratio = ratio; }

    /** Counts a request that a caller sent. */
    void onRequest(TimePoint now);

    /** Takes one repeat. @return false when the window's budget is used up. */
    bool tryTake(TimePoint now);

    /** @return retries that could be taken now. */
    double available(TimePoint now) const;

private:
    // Finer cells follow the sliding window closer; a tenth of it is lost to the oldest bucket.
    static constexpr std::size_t kBuckets = 10;

    struct Bucket
    {
        std::int64_t index = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    std::int64_t bucketIndexAt(TimePoint now) const
    {
        return now.time_since_epoch() / m_bucketWidth;
    }
    Bucket &bucketAt(TimePoint now);

    double m_ratio;
    Duration m_bucketWidth;
    // One bucket more than the window holds, as the oldest one is covered in part.
    std::array<Bucket, kBuckets + 1> m_buckets{};
};

} // namespace hawthornslip
