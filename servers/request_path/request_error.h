#pragma once

#include "core/reasons.h"
#include "core/time.h"

#include <string>

namespace hawthornslip {

/** An error as reported to the caller; errors of lower layers are converted to it. */
struct RequestError
{
    Reason reason = Reason::Internal;
    Execution execution = Execution::NotRun;
    std::string message;
    /** Time to wait before a retry; zero means unspecified. */
    Duration retryAfter{0};
};

} // namespace hawthornslip
