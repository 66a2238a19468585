#include "bench/scenario.h"

#include "bench/toml_section.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>

namespace hawthornslip::bench {

namespace {

LoadClass readClass(const TomlSection &section, const Deployment &deployment)
{
    LoadClass result;
    result.profile = section.text("profile");
    result.tier = static_cast<int>(section.number("tier", 0));
    result.route = section.text("route", "");
    if (result.route.empty())
        result.model = deployment.model;
    result.meanTokens = section.number("mean_tokens", 40);
    result.sigmaTokens = section.number("sigma_tokens", 0.5);
    result.maxTokens = static_cast<std::uint32_t>(section.number("max_tokens", 400));
    result.promptTokens = static_cast<std::uint32_t>(section.number("prompt_tokens", 100));
    result.work = deployment.applicationWork;
    result.keyed = section.number("keyed", 0) > 0;
    result.firstTokenTarget = section.millis("first_token_target_ms", seconds(1));
    result.tokenTarget = section.millis("token_target_ms", milliseconds(25));
    result.timeout = section.millis("timeout_ms", seconds(20));
    const double share = section.number("share", 0);
    if (result.application()) {
        const double calls = static_cast<double>(deployment.applications) *
                             deployment.applicationSlots / toSeconds(deployment.applicationWork);
        result.requestsPerSecond = share * calls;
    } else {
        const double tokens =
                static_cast<double>(deployment.engines) * engineTokensPerSecond(deployment.batch);
        result.requestsPerSecond = share * tokens / result.meanTokens;
    }
    return result;
}

void readUpstreams(const TomlFile &file, Deployment &deployment)
{
    const auto engine = file.section("engine");
    deployment.engines = static_cast<std::size_t>(engine.number("count", 12));
    deployment.batch.slots = static_cast<std::uint32_t>(engine.number("slots", 8));
    deployment.batch.maxQueue = static_cast<std::uint32_t>(engine.number("max_queue", 64));
    deployment.batch.stepBase = engine.micros("step_us", Duration(8000));
    deployment.batch.stepPerRunning = engine.micros("step_per_running_us", Duration(500));
    deployment.batch.prefillPerToken = engine.micros("prefill_us", Duration(100));
    deployment.cacheBlocks = static_cast<std::uint32_t>(engine.number("cache_blocks", 1000));
    const auto application = file.section("application");
    deployment.applications = static_cast<std::size_t>(application.number("count", 3));
    deployment.applicationSlots = static_cast<std::uint32_t>(application.number("slots", 2));
    deployment.applicationWork = application.millis("work_ms", milliseconds(40));
    deployment.routes = application.texts("routes");
}

Deployment readDeployment(const std::string &root, const std::string &name)
{
    const TomlFile file(root + "/bench/deployments/" + name + ".toml");
    const auto top = file.section("deployment");
    Deployment deployment;
    deployment.name = name;
    deployment.domains = top.texts("domains");
    deployment.model = top.text("model");
    deployment.oneWay = top.micros("one_way_us", Duration(0));
    readUpstreams(file, deployment);
    for (const auto &it : file.sectionsLike("class_"))
        deployment.classes.push_back(readClass(it, deployment));
    for (const auto &it : file.sectionsLike("workspace_")) {
        deployment.workspaces.push_back(
                {it.text("id"), name + "-test-" + it.text("id"), it.number("share", 1)});
    }
    return deployment;
}

Fault readFault(const TomlSection &section)
{
    Fault fault;
    fault.kind = section.text("kind");
    fault.target = static_cast<std::size_t>(section.number("target", 0));
    fault.at = section.millis("at_ms", Duration(0));
    fault.until = section.millis("until_ms", Duration(0));
    fault.value = section.number("value", 0);
    return fault;
}

} // namespace

double engineTokensPerSecond(const standin::BatchSpec &batch)
{
    double best = 0;
    for (std::uint32_t n = 1; n <= batch.slots; ++n)
        best = std::max(best, n / toSeconds(batch.step(n)));
    return best;
}

Scenario readScenario(const std::string &root, const std::string &nameOrPath)
{
    const bool path = nameOrPath.find(".toml") != std::string::npos;
    const TomlFile file(path ? nameOrPath : root + "/bench/scenarios/" + nameOrPath + ".toml");
    const auto top = file.section("scenario");
    Scenario scenario;
    scenario.name = std::filesystem::path(nameOrPath).stem();
    scenario.deployment = readDeployment(root, top.text("deployment"));
    scenario.nodes = static_cast<std::size_t>(top.number("nodes", 6));
    scenario.load = top.number("load", scenario.load);
    scenario.duration = top.millis("duration_ms", scenario.duration);
    scenario.sigmaTokens = top.number("sigma_tokens", 0);
    scenario.largeWorkspace = top.number("large_workspace", 0);
    scenario.coldEngines = static_cast<std::size_t>(top.number("cold_engines", 0));
    scenario.modelLoad = top.millis("model_load_ms", scenario.modelLoad);
    for (const auto &it : file.sectionsLike("period_")) {
        scenario.periods.push_back({it.millis("from_ms", Duration(0)),
                                    it.millis("to_ms", scenario.duration), it.number("factor", 1),
                                    it.text("profile", "")});
    }
    for (const auto &it : file.sectionsLike("fault_"))
        scenario.faults.push_back(readFault(it));
    return scenario;
}

LoadSpec makeLoadSpec(const Scenario &scenario, std::vector<std::string> nodes, std::uint64_t seed)
{
    LoadSpec spec;
    spec.nodes = std::move(nodes);
    spec.seed = seed;
    spec.duration = scenario.duration;
    spec.periods = scenario.periods;
    spec.classes = scenario.deployment.classes;
    for (auto &it : spec.classes) {
        it.requestsPerSecond *= scenario.load;
        if (scenario.sigmaTokens > 0)
            it.sigmaTokens = scenario.sigmaTokens;
    }
    spec.workspaces = scenario.deployment.workspaces;
    double others = 0;
    for (std::size_t i = 1; i < spec.workspaces.size(); ++i)
        others += spec.workspaces[i].share;
    if (scenario.largeWorkspace > 0)
        spec.workspaces[0].share = others * scenario.largeWorkspace / (1 - scenario.largeWorkspace);
    return spec;
}

} // namespace hawthornslip::bench
