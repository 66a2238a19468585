#pragma once

#include "core/profile.h"
#include "core/time.h"

#include <optional>

namespace hawthornslip {

/** Decides whether a workspace may start another request. Calls may come from any thread. */
class RateLimiter
{
public:
    virtual ~RateLimiter() = default;

    /** @return nothing when the request may start, otherwise when to try again. */
    virtual std::optional<Duration> take(const Workspace &workspace, TimePoint now) = 0;
};

/** Lets every request start. */
class UnlimitedRateLimiter : public RateLimiter
{
public:
    std::optional<Duration> take(const Workspace & /*workspace*/, TimePoint /*now*/) override
    {
        return std::nullopt;
    }
};

} // namespace hawthornslip
