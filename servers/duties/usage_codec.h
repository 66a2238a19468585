#pragma once

#include "core/time.h"
#include "modules/usage/usage_counts.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthornslip {

/** Asks a node for its counts. */
struct UsageQuestion
{
    std::uint64_t sequence = 0;
    /** Earlier windows are not needed. */
    std::uint64_t firstWindow = 0;
    Duration window{0};
    /** Wall-clock time as the holder of the duty takes it. */
    UnixMillis time = 0;
};

/** Answers a question, in one or more parts. */
struct UsageAnswer
{
    /** Of the question; 0 for counts that nobody has asked for. */
    std::uint64_t sequence = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    /** The window in which the node started to count. */
    std::uint64_t since = 0;
    /** Counts of earlier windows are final. */
    std::uint64_t openWindow = 0;
    /** Wall clock of the node that answers. */
    UnixMillis clock = 0;
    WindowCounts counts;
};

/** @return @p question as a serialized gateway::UsageMessage. */
std::string encodeUsageQuestion(const UsageQuestion &question);

/** @return @p answer as serialized messages, each of which fits into a datagram. */
std::vector<std::string> encodeUsageAnswer(const UsageAnswer &answer);

/** @return the message in @p bytes, or std::nullopt when they are malformed. */
std::optional<std::variant<UsageQuestion, UsageAnswer>> decodeUsage(const std::string &bytes);

} // namespace hawthornslip
