#pragma once

#include "modules/usage/usage_counts.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hawthornslip {

/** A report whose counts do not change any more. */
struct FrozenReport
{
    WorkspaceCounts counts;
    /** The provider has accepted it; its counts are dropped. */
    bool isAccepted = false;

    bool operator==(const FrozenReport &) const = default;
};

/** Contents of the object in the store that holds the reports of the last windows. */
struct UsageJournal
{
    /** Windows before this one may have been reported or given up, and get no new counts. */
    std::uint64_t firstWindow = 0;
    /** Reports by window. */
    std::map<std::uint64_t, FrozenReport> reports;

    bool operator==(const UsageJournal &) const = default;
};

/** @return @p journal as a JSON document. */
std::string encodeUsageJournal(const UsageJournal &journal);

/** @return the journal encoded in @p text, or nothing when @p text is invalid. */
std::optional<UsageJournal> decodeUsageJournal(const std::string &text);

} // namespace hawthornslip
