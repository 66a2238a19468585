#include "servers/load_generator/load_spec.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

Duration readMillis(const Json &json, const char *name, Duration fallback)
{
    return milliseconds(json.value(name, toMillis(fallback)));
}

LoadClass readClass(const Json &json)
{
    LoadClass result;
    result.profile = json.at("profile").get<std::string>();
    result.tier = json.value("tier", result.tier);
    result.model = json.value("model", "");
    result.route = json.value("route", "");
    result.requestsPerSecond = json.value("requests_per_second", result.requestsPerSecond);
    result.meanTokens = json.value("mean_tokens", result.meanTokens);
    result.sigmaTokens = json.value("sigma_tokens", result.sigmaTokens);
    result.maxTokens = json.value("max_tokens", result.maxTokens);
    result.promptTokens = json.value("prompt_tokens", result.promptTokens);
    result.work = readMillis(json, "work_ms", result.work);
    result.streamed = json.value("streamed", result.streamed);
    result.keyed = json.value("keyed", result.keyed);
    result.firstTokenTarget = readMillis(json, "first_token_target_ms", result.firstTokenTarget);
    result.tokenTarget = readMillis(json, "token_target_ms", result.tokenTarget);
    result.timeout = readMillis(json, "timeout_ms", result.timeout);
    if (result.model.empty() == result.route.empty())
        throw std::invalid_argument("class " + result.profile +
                                    " must have exactly one of model and route");
    return result;
}

LoadSpec readSpec(const Json &json)
{
    LoadSpec spec;
    spec.nodes = json.at("nodes").get<std::vector<std::string>>();
    for (const auto &it : json.at("classes"))
        spec.classes.push_back(readClass(it));
    for (const auto &it : json.at("workspaces")) {
        spec.workspaces.push_back(
                {it.value("id", ""), it.at("key").get<std::string>(), it.value("share", 1.0)});
    }
    for (const auto &it : json.value("periods", Json::array())) {
        spec.periods.push_back({readMillis(it, "from_ms", Duration(0)),
                                readMillis(it, "to_ms", Duration(0)), it.value("factor", 1.0),
                                it.value("profile", "")});
    }
    spec.duration = readMillis(json, "duration_ms", spec.duration);
    spec.seed = json.value("seed", spec.seed);
    return spec;
}

} // namespace

LoadSpec readLoadSpec(const std::string &json)
{
    LoadSpec spec;
    try {
        spec = readSpec(Json::parse(json));
    } catch (const Json::exception &error) {
        throw std::invalid_argument(error.what());
    }
    if (spec.nodes.empty() || spec.classes.empty() || spec.workspaces.empty())
        throw std::invalid_argument(
                "the load file needs at least one node, one class and one workspace");
    return spec;
}

} // namespace hawthornslip
