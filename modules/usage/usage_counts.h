#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace hawthornslip {

/** Requests by workspace. */
using WorkspaceCounts = std::map<std::string, std::uint64_t>;

/** Requests by window and workspace. */
using WindowCounts = std::map<std::uint64_t, WorkspaceCounts>;

/** Times of usage reports. */
struct UsageTimes
{
    /** Length of a window of wall-clock time. */
    Duration window = seconds(5);
    /** Time after the end of a window until its report is due. */
    Duration due = seconds(10);

    /** @return windows for which counts are kept and reports are retried. */
    std::size_t keptWindows() const
    {
        // A late report is better than none, as long as the counts are small.
        constexpr std::int64_t kDueTimesKept = 6;
        constexpr std::int64_t kMinWindows = 4;
        return static_cast<std::size_t>(
                std::max(kMinWindows, due * kDueTimesKept / std::max(window, Duration(1))));
    }

    /** @return the oldest window that is kept while @p open is in progress. */
    std::uint64_t oldestKept(std::uint64_t open) const
    {
        const std::uint64_t kept = keptWindows();
        return open > kept ? open - kept : 0;
    }
};

} // namespace hawthornslip
