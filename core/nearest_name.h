#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace hawthornslip {

/** @return the Levenshtein distance of two names in bytes. */
std::size_t editDistance(std::string_view a, std::string_view b);

/**
 * Finds the known name that a misspelt one most likely means.
 *
 * @return the nearest of @p known, or an empty view when none is within a third of its length.
 */
std::string_view nearestName(std::string_view name, const std::vector<std::string_view> &known);

} // namespace hawthornslip
