#pragma once

#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hawthornslip {

/** Contents of the object `leases/<name>`. */
struct LeaseRecord
{
    /** Empty after a release. */
    NodeId holder;
    /** Distinguishes a restarted process from its earlier incarnations. */
    std::uint64_t incarnation = 0;
    /** Fencing token; incremented each time the lease is acquired. */
    std::uint64_t fencing = 0;
    /** Incremented with each renewal; an unchanged value shows other nodes a stopped holder. */
    std::uint64_t renewals = 0;

    bool operator==(const LeaseRecord &) const = default;
};

/** @return @p record as a JSON document. */
std::string encodeLease(const LeaseRecord &record);

/** @return the lease encoded in @p text, or nothing when @p text is invalid. */
std::optional<LeaseRecord> decodeLease(const std::string &text);

} // namespace hawthornslip
