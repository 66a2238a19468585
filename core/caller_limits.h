#pragma once

#include "core/time.h"

#include <cstddef>

namespace hawthornslip {

/** Limits of what a caller may send, and how long it may take. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxBodyBytes = 4 << 20;
    Duration headerTimeout = seconds(3);
    Duration idleTimeout = seconds(15);
};

} // namespace hawthornslip
