#pragma once

#include "core/reasons.h"
#include "core/time.h"

#include <string>

namespace hawthornslip {

/** The error of the request path: what the caller is told. Errors from below are turned into it. */
struct RequestError
{
    Reason reason = Reason::Internal;
    Execution execution = Execution::NotRun;
    std::string message;
    /** When a repeat makes sense; zero means that no time is given. */
    Duration retryAfter{0};
};

} // namespace hawthornslip
