#include "servers/load_generator/load_report.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace hawthornslip {

namespace {

constexpr double kP50 = 50;
constexpr double kP95 = 95;
constexpr double kP99 = 99;
constexpr double kPercent = 100;

double millis(Duration span)
{
    return toSeconds(span) * 1e3;
}

void addOutcome(ClassReport &report, const LoadOutcome &outcome)
{
    ++report.sent;
    if (outcome.result == LoadResult::Answered) {
        ++report.answered;
        report.inTime += outcome.inTime ? 1 : 0;
        report.timeToFirstToken.push_back(outcome.timeToFirstToken);
        report.totalTime.push_back(outcome.totalTime);
        return;
    }
    const bool notRun = outcome.result == LoadResult::Refused && outcome.execution == "not_run";
    ++(notRun ? report.refusedNotRun : report.failed);
    const std::string reason = outcome.result == LoadResult::Refused  ? outcome.reason
                               : outcome.result == LoadResult::Broken ? "broken"
                                                                      : "lost";
    const std::string execution = outcome.execution.empty() ? "unknown" : outcome.execution;
    ++report.reasons[execution + " " + reason];
}

/**
 * Counts answers with content of another request, and answers that repeat the request id of another
 * one: one answer was delivered to two callers.
 */
std::uint32_t countCrossed(const std::vector<LoadOutcome> &outcomes)
{
    std::set<std::string> seen;
    std::uint32_t crossed = 0;
    for (const auto &it : outcomes) {
        const bool duplicate = !it.requestId.empty() && !seen.insert(it.requestId).second;
        crossed += it.faults.crossed || duplicate ? 1 : 0;
    }
    return crossed;
}

nlohmann::json latencyJson(const std::vector<Duration> &samples)
{
    return {{"p50", millis(percentile(samples, kP50))},
            {"p95", millis(percentile(samples, kP95))},
            {"p99", millis(percentile(samples, kP99))}};
}

nlohmann::json classJson(const ClassReport &report)
{
    return {{"tier", report.tier},
            {"sent", report.sent},
            {"in_time", report.inTime},
            {"attainment", report.attainment()},
            {"refused_not_run", report.refusedNotRun},
            {"failed", report.failed},
            {"reasons", report.reasons},
            {"first_token_ms", latencyJson(report.timeToFirstToken)},
            {"total_ms", latencyJson(report.totalTime)}};
}

void addWorkspaces(const LoadSpec &spec, const std::vector<PlannedRequest> &plan,
                   const std::vector<LoadOutcome> &outcomes, LoadReport &report)
{
    std::vector<std::pair<double, double>> counts(spec.workspaces.size());
    for (std::size_t i = 0; i < plan.size(); ++i) {
        counts[plan[i].workspace].first += outcomes[i].inTime ? 1 : 0;
        counts[plan[i].workspace].second += 1;
    }
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i].second > 0)
            report.workspaceAttainment[spec.workspaces[i].id] = counts[i].first / counts[i].second;
    }
}

} // namespace

double ClassReport::attainment() const
{
    return sent == 0 ? 1 : static_cast<double>(inTime) / sent;
}

Duration percentile(std::vector<Duration> samples, double percent)
{
    if (samples.empty())
        return Duration(0);
    const auto index =
            static_cast<std::size_t>(percent / kPercent * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index),
                     samples.end());
    return samples[index];
}

LoadReport makeLoadReport(const LoadSpec &spec, const std::vector<PlannedRequest> &plan,
                          const std::vector<LoadOutcome> &outcomes)
{
    LoadReport report;
    for (const auto &it : spec.classes) {
        report.classes.emplace_back();
        report.classes.back().profile = it.profile;
        report.classes.back().tier = it.tier;
    }
    std::uint64_t inTimeTokens = 0;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        const auto &outcome = outcomes[i];
        addOutcome(report.classes[plan[i].loadClass], outcome);
        report.deliveredTokens += outcome.result == LoadResult::Answered ? outcome.tokens : 0;
        inTimeTokens += outcome.inTime ? outcome.tokens : 0;
        report.lostAnswers += outcome.result == LoadResult::Lost ? 1 : 0;
        report.damagedAnswers += outcome.faults.missing || outcome.faults.repeated ? 1 : 0;
    }
    report.goodputTokensPerSecond = static_cast<double>(inTimeTokens) / toSeconds(spec.duration);
    report.crossedAnswers = countCrossed(outcomes);
    addWorkspaces(spec, plan, outcomes, report);
    return report;
}

std::string loadReportJson(const LoadReport &report)
{
    nlohmann::json classes;
    for (const auto &it : report.classes)
        classes[it.profile] = classJson(it);
    return nlohmann::json{{"classes", classes},
                          {"workspaces", report.workspaceAttainment},
                          {"goodput_tokens_per_s", report.goodputTokensPerSecond},
                          {"delivered_tokens", report.deliveredTokens},
                          {"crossed_answers", report.crossedAnswers},
                          {"lost_answers", report.lostAnswers},
                          {"damaged_answers", report.damagedAnswers}}
            .dump();
}

std::string loadReportTable(const LoadReport &report)
{
    std::string text =
            fmt::format("{:<20}{:>5}{:>8}{:>9}{:>11}{:>9}{:>8}{:>9}{:>9}\n", "class", "tier",
                        "sent", "in time", "attainment", "not run", "failed", "p50 ms", "p99 ms");
    for (const auto &it : report.classes) {
        text += fmt::format("{:<20}{:>5}{:>8}{:>9}{:>10.2f}%{:>9}{:>8}{:>9.0f}{:>9.0f}\n",
                            it.profile, it.tier, it.sent, it.inTime, it.attainment() * kPercent,
                            it.refusedNotRun, it.failed,
                            millis(percentile(it.timeToFirstToken, kP50)),
                            millis(percentile(it.timeToFirstToken, kP99)));
    }
    for (const auto &it : report.classes) {
        for (const auto &[reason, n] : it.reasons)
            text += fmt::format("  {}: {} {}\n", it.profile, n, reason);
    }
    text += fmt::format("goodput {:.0f} tokens/s, crossed {}, lost {}, damaged {}\n",
                        report.goodputTokensPerSecond, report.crossedAnswers, report.lostAnswers,
                        report.damagedAnswers);
    return text;
}

} // namespace hawthornslip
