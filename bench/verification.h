#pragma once

#include "servers/load_generator/load_report.h"
#include "tests/standins/fleet.h"

#include <cstdint>
#include <vector>

namespace hawthornslip::bench {

/** What the upstreams' records say against the callers' answers. */
struct Verification
{
    /** Runs beyond the first of requests that may run only once. */
    std::uint32_t duplicateRuns = 0;
    /** Answers that belong to another request, by the mark that the upstream recorded. */
    std::uint32_t crossedAnswers = 0;
    /** Requests that ran although their caller was told `not_run`. */
    std::uint32_t notRunButRan = 0;
    std::uint64_t generatedTokens = 0;
    /** Share of the generated tokens that are not part of a whole answer. */
    double wastedTokenFraction = 0;
};

/** The part of a plan that matters for the records: who may run only once. */
struct OnceOnly
{
    std::vector<bool> byClass;
};

/** Compares the run records of all upstreams with the outcomes of the load. */
Verification verify(const std::vector<standin::RunRecord> &runs, const OnceOnly &once,
                    const std::vector<PlannedRequest> &plan,
                    const std::vector<LoadOutcome> &outcomes, const LoadReport &report);

/** @return the run records of all upstreams of @p fleet. */
std::vector<standin::RunRecord> allRuns(standin::Fleet &fleet);

} // namespace hawthornslip::bench
