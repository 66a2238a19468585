#pragma once

#include "core/enum_names.h"
#include "core/ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace hawthornslip {

/** How a call to the provider ended. */
enum class ProviderResult {
    Accepted,
    /** A later holder of the duty has called, or the order cannot be met now. Nothing was done. */
    Conflict,
    /** Too many calls per second; nothing was done. */
    RateLimited,
    /** The provider states that it did nothing. */
    Unavailable,
    /** No complete answer: the call may have been carried out, or may be, also after later ones. */
    Unknown,
};

inline constexpr EnumNames<ProviderResult, 5> kProviderResultNames = {{
        {ProviderResult::Accepted, "accepted"},
        {ProviderResult::Conflict, "conflict"},
        {ProviderResult::RateLimited, "rate_limited"},
        {ProviderResult::Unavailable, "unavailable"},
        {ProviderResult::Unknown, "unknown"},
}};

/** Requests of each workspace that began to run in one window of wall-clock time. */
struct UsageReport
{
    /** Number of the window: its start since the Unix epoch divided by its length. */
    std::uint64_t window = 0;
    /** Requests by workspace. */
    std::map<std::string, std::uint64_t> counts;

    bool operator==(const UsageReport &) const = default;
};

/** Orders a number of upstreams of one service in one failure domain. */
struct CapacityOrder
{
    std::string service;
    FailureDomain domain;
    std::uint32_t desired = 0;
    /** For upstreams that cost less and may be taken away with short notice; counted apart. */
    bool reclaimable = false;

    bool operator==(const CapacityOrder &) const = default;
};

/** Calls that the holder of a duty makes to the provider of the upstreams. */
class ProviderApi
{
public:
    /** Receives the result on the event loop; called once. */
    using Done = std::function<void(ProviderResult)>;

    virtual ~ProviderApi() = default;

    /** @param generation the holder's term; a lower one than the provider has seen is refused. */
    virtual void reportUsage(const UsageReport &report, std::uint64_t generation, Done done) = 0;

    /** @copydoc reportUsage */
    virtual void orderCapacity(const CapacityOrder &order, std::uint64_t generation, Done done) = 0;
};

} // namespace hawthornslip
