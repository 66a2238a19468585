#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace hawthornslip {

/** @return the Levenshtein distance between two names, in bytes. */
std::size_t editDistance(std::string_view a, std::string_view b);

/**
 * Finds a suggestion for a misspelt name.
 *
 * @return the name in @p known with the smallest edit distance, or an empty view when none is
 *         within a third of its own length (at least one edit).
 */
std::string_view nearestName(std::string_view name, const std::vector<std::string_view> &known);

} // namespace hawthornslip
