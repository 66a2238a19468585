#pragma once

#include <compare>
#include <cstdint>

namespace hawthornslip {

/**
 * A point in the history of a store. Revisions are ordered within an era only: a store that
 * restarts from an older copy begins a new era and gives revisions out again.
 */
struct StatePosition
{
    /** Zero when the store names no era. */
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const StatePosition &) const = default;
};

} // namespace hawthornslip
