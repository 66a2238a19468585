#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>

namespace hawthornslip {

/** The time in which one start of one node performs a duty. */
struct DutyTerm
{
    /** Rises with each change of holder; never used by two nodes or by two starts of one. */
    std::uint64_t generation = 0;
    /** No call may be sent from this time on. */
    TimePoint usableUntil{};

    bool operator==(const DutyTerm &) const = default;
};

/** Tells whether this node performs a duty. */
class DutyTerms
{
public:
    virtual ~DutyTerms() = default;

    /** @return the term in which this node may call now; asked before each call. */
    virtual std::optional<DutyTerm> current(TimePoint now) const = 0;

    /** Records that the provider has seen a higher generation; the term ends at once. */
    virtual void onSuperseded(std::uint64_t generation, TimePoint now) = 0;
};

} // namespace hawthornslip
