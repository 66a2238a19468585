#pragma once

#include "core/time.h"

namespace hawthornslip {

/** The source of time; tests pass one that they advance by hand. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** @return the monotonic time, for all decisions. */
    virtual TimePoint now() const = 0;

    /** @return the wall clock, for records and logs only. */
    virtual UnixMillis wallNow() const = 0;
};

} // namespace hawthornslip
