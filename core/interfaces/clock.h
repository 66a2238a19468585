#pragma once

#include "core/time.h"

namespace hawthornslip {

/** Time source; tests use one that they advance manually. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** @return the monotonic time, which all timeouts and scheduling decisions use. */
    virtual TimePoint now() const = 0;

    /** @return the wall-clock time, for stored records and logs only. */
    virtual UnixMillis wallNow() const = 0;
};

} // namespace hawthornslip
