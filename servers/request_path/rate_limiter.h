#pragma once

#include "core/profile.h"
#include "core/time.h"

#include <optional>

namespace hawthornslip {

/** Limits the request rate of workspaces. Calls may come from any thread. */
class RateLimiter
{
public:
    virtual ~RateLimiter() = default;

    /** @return nothing when the request may start, otherwise the time to wait before a retry. */
    virtual std::optional<Duration> take(const Workspace &workspace, TimePoint now) = 0;
};

/** Applies no limit. */
class UnlimitedRateLimiter : public RateLimiter
{
public:
    std::optional<Duration> take(const Workspace & /*workspace*/, TimePoint /*now*/) override
    {
        return std::nullopt;
    }
};

} // namespace hawthornslip
