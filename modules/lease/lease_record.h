#pragma once

#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hawthornslip {

/** The contents of the object `leases/<name>`. */
struct LeaseRecord
{
    /** Empty after a release. */
    NodeId holder;
    /** Tells a restarted process from its earlier life. */
    std::uint64_t incarnation = 0;
    /** Rises with each change of the holder. */
    std::uint64_t fencing = 0;
    /** Rises with each renewal; takers wait for it to stand still. */
    std::uint64_t renewals = 0;

    bool operator==(const LeaseRecord &) const = default;
};

/** @return @p record as a JSON document. */
std::string encodeLease(const LeaseRecord &record);

/** @return the lease in @p text, or nothing when it is not one. */
std::optional<LeaseRecord> decodeLease(const std::string &text);

} // namespace hawthornslip
