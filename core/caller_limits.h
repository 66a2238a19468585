#pragma once

#include "core/time.h"

#include <cstddef>

namespace hawthornslip {

/** Size limits and timeouts that apply to a caller's connection. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxBodyBytes = 4 << 20;
    Duration headerTimeout = seconds(3);
    Duration idleTimeout = seconds(15);
};

} // namespace hawthornslip
