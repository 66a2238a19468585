#pragma once

#include "servers/load_generator/load_outcome.h"
#include "servers/load_generator/load_plan.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hawthornslip {

/** Statistics of one class of requests. */
struct ClassReport
{
    std::string profile;
    int tier = 0;
    std::uint32_t sent = 0;
    std::uint32_t answered = 0;
    /** Answered within the latency targets. */
    std::uint32_t inTime = 0;
    /** Refused with execution `not_run`. */
    std::uint32_t refusedNotRun = 0;
    /** All other requests without a complete answer. */
    std::uint32_t failed = 0;
    /** Number of requests without a complete answer, by `<execution> <reason>`. */
    std::map<std::string, std::uint32_t> reasons;
    /** Times to first token and to the end of each complete answer. */
    std::vector<Duration> timeToFirstToken;
    std::vector<Duration> totalTime;

    /** @return the fraction of the requests that were answered in time; 1 when none was sent. */
    double attainment() const;
};

/** Statistics of a whole load. */
struct LoadReport
{
    std::vector<ClassReport> classes;
    /** Fraction of a workspace's requests answered in time, by workspace id. */
    std::map<std::string, double> workspaceAttainment;
    /** Tokens of answers in time, divided by the duration of the load. */
    double goodputTokensPerSecond = 0;
    /** Tokens of complete answers, in time or not. */
    std::uint64_t deliveredTokens = 0;
    /** Answers with content of another request, or with the request id of another answer. */
    std::uint32_t crossedAnswers = 0;
    std::uint32_t lostAnswers = 0;
    /** Answers with missing or repeated tokens. */
    std::uint32_t damagedAnswers = 0;
};

/** @return the statistics of @p outcomes, which are in the order of @p plan. */
LoadReport makeLoadReport(const LoadSpec &spec, const std::vector<PlannedRequest> &plan,
                          const std::vector<LoadOutcome> &outcomes);

/** @return the sample of rank floor(@p percent / 100 * (n - 1)) of n; zero without samples. */
Duration percentile(std::vector<Duration> samples, double percent);

/** @return the report as JSON text. */
std::string loadReportJson(const LoadReport &report);

/** @return the report as a plain-text table. */
std::string loadReportTable(const LoadReport &report);

} // namespace hawthornslip
