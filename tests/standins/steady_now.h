#pragma once

#include "core/time.h"

namespace hawthornslip::standin {

/** @return the monotonic time; stand-ins are processes of their own and run in real time. */
inline TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace hawthornslip::standin
