#pragma once

#include "core/time.h"
#include "servers/load_generator/answer_checker.h"

#include <cstdint>
#include <string>

namespace hawthornslip {

/** How a request ended, as its caller sees it. */
enum class LoadResult {
    /** The answer arrived complete and without faults. */
    Answered,
    /** An error answer, before or within the stream, or no node could be connected. */
    Refused,
    /** The connection failed before the end of the answer. */
    Broken,
    /** The response ended normally but the answer was faulty, or no end came before the timeout. */
    Lost,
};

/** The outcome of one planned request. */
struct LoadOutcome
{
    LoadResult result = LoadResult::Lost;
    int status = 0;
    /** Error code, `status_<n>` for an error without one, or empty. */
    std::string reason;
    /** Whether the request ran according to the error answer, such as `not_run`; or empty. */
    std::string execution;
    std::string requestId;
    AnswerFaults faults;
    /** See AnswerChecker::tokens(). */
    std::uint32_t tokens = 0;
    /** Time to first token, from the planned arrival. */
    Duration timeToFirstToken{0};
    /** Time to the end of the answer, from the planned arrival. */
    Duration totalTime{0};
    /** Answered within the latency targets of its class. */
    bool inTime = false;
};

} // namespace hawthornslip
