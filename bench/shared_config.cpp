#include "bench/shared_config.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <fstream>
#include <stdexcept>

namespace hawthornslip::bench {

namespace {

using Json = nlohmann::json;

/** Above any rate of a scenario, so that workspaces are not limited before the scheduler. */
constexpr int kUnlimitedRate = 100000;

void scaleProfiles(Json &config, const Scenario &scenario)
{
    for (const auto &it : scenario.deployment.classes) {
        Json *found = nullptr;
        for (auto &profile : config["profiles"]) {
            if (profile["name"] == it.profile)
                found = &profile;
        }
        if (found == nullptr)
            throw std::runtime_error("the example has no profile " + it.profile);
        (*found)["first_token_target_ms"] = toMillis(it.firstTokenTarget);
        (*found)["token_target_ms"] = toMillis(it.tokenTarget);
        (*found)["total_timeout_ms"] = toMillis(it.timeout);
        if (!it.application()) {
            (*found)["max_tokens"] = it.maxTokens;
            (*found)["expected_tokens"] = std::lround(it.meanTokens);
        }
    }
}

Json upstreamJson(const std::string &id, const std::string &kind, const std::string &url,
                  const std::string &domain, const std::vector<std::string> &models,
                  bool checksFencing, std::uint32_t slots)
{
    return {{"id", id},
            {"kind", kind},
            {"url", url},
            {"domain", domain},
            {"models", models},
            {"state", "active"},
            {"max_concurrency", slots},
            {"checks_fencing", checksFencing}};
}

Json upstreams(const Scenario &scenario, standin::Fleet &fleet)
{
    auto list = Json::array();
    for (const auto &it : fleet.engines()) {
        list.push_back(upstreamJson(it->spec().id, "language", it->url(), it->spec().domain,
                                    {scenario.deployment.model}, it->spec().checksFencing,
                                    it->spec().batch.slots));
    }
    std::vector<std::string> routes;
    for (const auto &it : scenario.deployment.routes)
        routes.push_back("app:" + it);
    for (const auto &it : fleet.applications()) {
        list.push_back(upstreamJson(it->spec().id, "application", it->url(), it->spec().domain,
                                    routes, false, it->spec().slots));
    }
    return list;
}

} // namespace

std::string makeSharedConfig(const std::string &root, const Scenario &scenario,
                             standin::Fleet &fleet)
{
    const std::string path = root + "/examples/" + scenario.deployment.name + "/shared.json";
    std::ifstream file(path);
    auto config = Json::parse(file, nullptr, false);
    if (!config.is_object())
        throw std::runtime_error(path + " cannot be read");
    scaleProfiles(config, scenario);
    for (auto &it : config["workspaces"]) {
        it["requests_per_second"] = kUnlimitedRate;
        it["burst_requests"] = kUnlimitedRate;
    }
    config["upstreams"] = upstreams(scenario, fleet);
    config["author"] = "bench";
    return config.dump(2);
}

std::vector<bool> onceOnlyClasses(const std::string &sharedConfig, const Scenario &scenario)
{
    const auto config = Json::parse(sharedConfig);
    std::vector<bool> once;
    for (const auto &it : scenario.deployment.classes) {
        bool idempotent = true;
        for (const auto &profile : config["profiles"]) {
            if (profile["name"] == it.profile)
                idempotent = profile["idempotent"].get<bool>();
        }
        once.push_back(!idempotent);
    }
    return once;
}

} // namespace hawthornslip::bench
