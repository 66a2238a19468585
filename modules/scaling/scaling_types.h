#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/time.h"

#include <compare>
#include <cstdint>
#include <map>

/** Data types for ordering upstreams. */
namespace hawthornslip {

/** Kinds of upstreams that the provider offers; they are ordered and counted separately. */
enum class UpstreamSort {
    Ordinary,
    /** Costs less and may be taken away with short notice, all of a failure domain at once. */
    Reclaimable
};

inline constexpr EnumNames<UpstreamSort, 2> kUpstreamSortNames = {{
        {UpstreamSort::Ordinary, "ordinary"},
        {UpstreamSort::Reclaimable, "reclaimable"},
}};

/** What one order of a service is about. */
struct OrderSubject
{
    FailureDomain domain;
    UpstreamSort sort = UpstreamSort::Ordinary;

    auto operator<=>(const OrderSubject &) const = default;
};

/** Upstreams of one service by failure domain and sort. */
using UpstreamCounts = std::map<OrderSubject, std::uint32_t>;

/** @return the number of upstreams of @p subject, 0 if there is no entry. */
inline std::uint32_t countOf(const UpstreamCounts &counts, const OrderSubject &subject)
{
    const auto it = counts.find(subject);
    return it == counts.end() ? 0 : it->second;
}

/** @return the number of all upstreams. */
inline std::uint32_t totalOf(const UpstreamCounts &counts)
{
    std::uint32_t n = 0;
    for (const auto &[subject, count] : counts)
        n += count;
    return n;
}

/** How much capacity is kept for callers. */
struct ScalingSettings
{
    /** Share of the upstreams' capacity in use at which callers' objectives still hold. */
    double targetUse = 0.6;
    /** Rise above the highest recent demand that a wave may bring, as a fraction. */
    double waveReserve = 0.25;
    /** Rise above the mean demand that may come while ordered upstreams start, as a fraction; kept
     * ready when reclaimable upstreams are on offer. */
    double jumpReserve = 1.0;
    /** Share of the capacity without reserves that ordinary upstreams always provide. */
    double ordinaryShare = 0.2;
    /** Capacity is kept for the highest demand within this time. */
    Duration keepFor = seconds(20);
    /** Interval between two steps down, and the size of a step as a fraction. */
    Duration stepInterval = seconds(2);
    double stepDown = 0.1;
};

} // namespace hawthornslip
