#pragma once

#include "modules/usage/usage_counts.h"

#include <cstdint>
#include <string>

namespace hawthornslip {

/** Counts, at one node, the requests that an upstream began with, by window and workspace. */
class UsageCounter
{
public:
    explicit UsageCounter(UsageTimes times)
        : m_times(times)
    {}

    /** Counts a request of @p workspace in @p window and drops windows that are not kept. */
    void onBegun(const std::string &workspace, std::uint64_t window);

    /** @return the counts of all kept windows from @p first on. */
    WindowCounts countsFrom(std::uint64_t first) const;

private:
    UsageTimes m_times;
    WindowCounts m_counts;
};

} // namespace hawthornslip
