#pragma once

#include "servers/load_generator/load_outcome.h"
#include "servers/load_generator/load_plan.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hawthornslip {

/** Figures of one class. */
struct ClassReport
{
    std::string profile;
    int tier = 0;
    std::uint32_t sent = 0;
    std::uint32_t answered = 0;
    std::uint32_t inTime = 0;
    /** Refused with execution `not_run`. */
    std::uint32_t refusedNotRun = 0;
    /** All other requests without a whole answer. */
    std::uint32_t failed = 0;
    /** Requests without a whole answer by execution and reason. */
    std::map<std::string, std::uint32_t> reasons;
    std::vector<Duration> firstToken;
    std::vector<Duration> total;

    /** @return the share of the requests that were answered in time, 1 when none was sent. */
    double attainment() const;
};

/** Figures of a whole load. */
struct LoadReport
{
    std::vector<ClassReport> classes;
    /** Share of a workspace's requests answered in time, by workspace id. */
    std::map<std::string, double> workspaceAttainment;
    double goodputTokensPerSecond = 0;
    /** Tokens of whole answers. */
    std::uint64_t deliveredTokens = 0;
    std::uint32_t crossedAnswers = 0;
    std::uint32_t lostAnswers = 0;
    /** Answers with missing or repeated tokens. */
    std::uint32_t damagedAnswers = 0;
};

/** @return the figures of @p outcomes, which are in the order of @p plan. */
LoadReport makeLoadReport(const LoadSpec &spec, const std::vector<PlannedRequest> &plan,
                          const std::vector<LoadOutcome> &outcomes);

/** @return the value below which @p percent of the samples lie; zero without samples. */
Duration percentile(std::vector<Duration> samples, double percent);

/** @return the report as JSON text. */
std::string loadReportJson(const LoadReport &report);

/** @return the report as a table for people. */
std::string loadReportTable(const LoadReport &report);

} // namespace hawthornslip
