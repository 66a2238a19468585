#pragma once

#include "core/interfaces/clock.h"

namespace hawthornslip {

/** The clocks of the operating system. */
class SystemClock : public Clock
{
public:
    TimePoint now() const override;
    UnixMillis wallNow() const override;
};

} // namespace hawthornslip
