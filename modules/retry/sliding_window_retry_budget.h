#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hawthornslip {

/**
 * Limits the retries of a node to a fraction of the requests that it received within a sliding
 * window. The retries of all nodes then stay below the same fraction of all requests, whatever the
 * number of nodes, without coordination between them.
 */
class SlidingWindowRetryBudget
{
public:
    /**
     * @param ratio retries allowed per request.
     * @param window length of every interval in which the ratio holds.
     */
    SlidingWindowRetryBudget(double ratio, Duration window);

    /** Changes the retries allowed per request; the counts are kept. */
    void setRatio(double ratio) { m_ratio = ratio; }

    /** Counts a request of a caller. */
    void onRequest(TimePoint now);

    /** Takes one retry. @return false when the budget of the window is exhausted. */
    bool tryTake(TimePoint now);

    /** @return the number of retries that may be taken now. */
    double available(TimePoint now) const;

private:
    // More buckets follow the sliding window more closely; with 10, the requests of up to a tenth
    // of the window are not counted, as the oldest bucket is left out.
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
    // One bucket more than the window holds, as the window covers the oldest one only in part.
    std::array<Bucket, kBuckets + 1> m_buckets{};
};

} // namespace hawthornslip
