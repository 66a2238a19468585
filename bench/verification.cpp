#include "bench/verification.h"

#include <map>
#include <string>

namespace hawthornslip::bench {

std::vector<standin::RunRecord> allRuns(standin::Fleet &fleet)
{
    std::vector<standin::RunRecord> runs;
    for (const auto &it : fleet.engines()) {
        const auto records = it->runs().records();
        runs.insert(runs.end(), records.begin(), records.end());
    }
    for (const auto &it : fleet.applications()) {
        const auto records = it->runs().records();
        runs.insert(runs.end(), records.begin(), records.end());
    }
    return runs;
}

Verification verify(const std::vector<standin::RunRecord> &runs, const OnceOnly &once,
                    const std::vector<PlannedRequest> &plan,
                    const std::vector<LoadOutcome> &outcomes, const LoadReport &report)
{
    Verification result;
    std::map<std::string, std::uint32_t> runsOf;
    std::map<std::string, std::string> markerOf;
    for (const auto &it : runs) {
        ++runsOf[it.marker];
        markerOf[it.requestId] = it.marker;
        result.generatedTokens += it.tokens;
    }
    result.crossedAnswers = report.crossedAnswers;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        const auto found = runsOf.find(plan[i].marker);
        const std::uint32_t n = found == runsOf.end() ? 0 : found->second;
        if (once.byClass[plan[i].loadClass] && n > 1)
            result.duplicateRuns += n - 1;
        if (outcomes[i].execution == "not_run" && n > 0)
            ++result.notRunButRan;
        const auto marker = markerOf.find(outcomes[i].requestId);
        const bool other = !outcomes[i].requestId.empty() && marker != markerOf.end() &&
                           marker->second != plan[i].marker;
        result.crossedAnswers += other && !outcomes[i].faults.crossed ? 1 : 0;
    }
    if (result.generatedTokens > 0) {
        const auto generated = static_cast<double>(result.generatedTokens);
        result.wastedTokenFraction =
                (generated - static_cast<double>(report.deliveredTokens)) / generated;
    }
    return result;
}

} // namespace hawthornslip::bench
