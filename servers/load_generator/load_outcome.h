#pragma once

#include "core/time.h"
#include "servers/load_generator/answer_checker.h"

#include <cstdint>
#include <string>

namespace hawthornslip {

/** What became of a request, as its caller sees it. */
enum class LoadResult {
    /** The whole answer arrived without faults. */
    Answered,
    /** An error answer, before or within the stream. */
    Refused,
    /** The connection broke off before the end of the answer. */
    Broken,
    /** The answer ended in order but was not whole, or no end came at all. */
    Lost,
};

/** The outcome of one planned request. */
struct LoadOutcome
{
    LoadResult result = LoadResult::Lost;
    int status = 0;
    /** Code of the error and what it says about the execution. */
    std::string reason;
    std::string execution;
    std::string requestId;
    AnswerFaults faults;
    /** Tokens received in order. */
    std::uint32_t tokens = 0;
    /** Times from the planned arrival. */
    Duration firstToken{0};
    Duration total{0};
    /** Answered within the targets of its class. */
    bool inTime = false;
};

} // namespace hawthornslip
