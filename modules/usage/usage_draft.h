#pragma once

#include "modules/usage/usage_collector.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hawthornslip {

/** @return the counts of @p starts in windows from @p first on as a JSON document; empty without
 *          any. */
std::string encodeUsageDraft(const StartCounts &starts, std::uint64_t first);

/** @return the counts encoded in @p text, or nothing when @p text is invalid. */
std::optional<StartCounts> decodeUsageDraft(const std::string &text);

} // namespace hawthornslip
