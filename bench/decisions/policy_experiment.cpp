#include "bench/decisions/group_model.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hawthornslip::bench {

namespace {

struct Variant
{
    std::string name;
    std::function<void(ExperimentSpec &)> change;
};

const std::vector<Variant> &variants()
{
    static const std::vector<Variant> kVariants = {
            {"all", [](ExperimentSpec &) {}},
            {"no_affinity", [](ExperimentSpec &it) { it.options.prefixAffinity = false; }},
            {"no_preemption", [](ExperimentSpec &it) { it.options.preemption = false; }},
            {"no_early_refusal", [](ExperimentSpec &it) { it.options.earlyRefusal = false; }},
            {"no_adaptive", [](ExperimentSpec &it) { it.options.adaptiveConcurrency = false; }},
            {"no_ejection", [](ExperimentSpec &it) { it.options.ejection = false; }},
            {"no_fairness", [](ExperimentSpec &it) { it.options.fairness = false; }},
            {"round_robin", [](ExperimentSpec &it) { it.policy = SchedulingPolicy::RoundRobin; }},
            {"least_in_flight",
             [](ExperimentSpec &it) { it.policy = SchedulingPolicy::LeastInFlight; }},
    };
    return kVariants;
}

// Two thirds of the engines are alike, one has fewer slots and one slower steps.
std::vector<EngineSpec> makeEngines(int count)
{
    std::vector<EngineSpec> engines(static_cast<std::size_t>(count));
    for (std::size_t i = 0; i < engines.size(); ++i) {
        if (i % 6 == 4)
            engines[i].slots = 32;
        if (i % 6 == 5)
            engines[i].stepPerRunningSeconds = 0.0006;
    }
    return engines;
}

void print(const std::string &name, const ExperimentSpec &spec, const ExperimentResult &result)
{
    fmt::print(
            "{:<17} load={} seed={} attainment={:.4f}/{:.3f}/{:.3f} goodput={:.0f} of_bound={:.3f} "
            "wasted={:.4f} longest_wait={:.1f}/{:.1f}/{:.1f} unfair={:.3f} small={:.3f} "
            "hits={:.2f} first_token={:.3f} "
            "preempted={} ejected={} i1={}\n",
            name, spec.load, spec.seed, result.tiers[0].attainment(), result.tiers[1].attainment(),
            result.tiers[2].attainment(), result.goodput, result.goodput / result.bound,
            result.wastedShare, result.tiers[0].longestWaitSeconds,
            result.tiers[1].longestWaitSeconds, result.tiers[2].longestWaitSeconds,
            result.unfairness, result.smallAttainment, result.cacheHits, result.firstTokenSeconds,
            result.stats.preemptions, result.stats.ejections, result.stats.orderTierViolations);
}

} // namespace

int runExperiments(int argc, char **argv)
{
    CLI::App app{"Compares the mechanisms of the scheduler on a model of one group."};
    std::vector<double> loads{2, 4};
    std::vector<std::uint64_t> seeds{1, 2, 3};
    std::vector<std::string> names;
    int engines = 6;
    int straggler = -1;
    int crashed = -1;
    std::uint32_t maxConcurrency = 64;
    std::int64_t duration = 150;
    double prompt = 400;
    bool noReports = false;
    double largeShare = 0.4;
    app.add_option("--loads", loads, "demand as multiples of the capacity");
    app.add_option("--seeds", seeds, "seeds");
    app.add_option("--variants", names, "variants; all without");
    app.add_option("--engines", engines, "number of engines");
    app.add_option("--straggler", straggler, "index of an engine that becomes slow");
    app.add_option("--crashed", crashed, "index of an engine that is down for a third of the run");
    app.add_option("--max-concurrency", maxConcurrency, "configured bound of each engine");
    app.add_option("--duration", duration, "seconds of model time");
    app.add_option("--prompt", prompt, "mean prompt tokens");
    app.add_option("--large-share", largeShare, "share of the requests of one workspace");
    app.add_flag("--no-reports", noReports, "engines report no load");
    CLI11_PARSE(app, argc, argv);
    for (const double load : loads) {
        for (const auto &variant : variants()) {
            if (!names.empty() &&
                std::find(names.begin(), names.end(), variant.name) == names.end())
                continue;
            for (const auto seed : seeds) {
                ExperimentSpec spec;
                spec.load = load;
                spec.seed = seed;
                spec.engines = makeEngines(engines);
                spec.straggler = straggler;
                spec.crashed = crashed;
                spec.maxConcurrency = maxConcurrency;
                spec.duration = seconds(duration);
                spec.promptTokens = prompt;
                spec.reports = !noReports;
                spec.largeShare = largeShare;
                variant.change(spec);
                print(variant.name, spec, GroupModel(spec).run());
            }
        }
    }
    return 0;
}

} // namespace hawthornslip::bench

/** Entry point of the experiments with scheduling mechanisms. */
int main(int argc, char **argv)
{
    return hawthornslip::bench::runExperiments(argc, argv);
}
