#include "servers/placement/placement_codec.h"

#include <nlohmann/json.hpp>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

Json encodeTargets(const std::map<UpstreamId, UpstreamTarget> &targets)
{
    Json all = Json::object();
    for (const auto &[id, target] : targets) {
        Json models = Json::object();
        for (const auto &[model, modelTarget] : target.models)
            models[model.value] = {{"version", modelTarget.version},
                                   {"adapters", modelTarget.adapters}};
        all[id.value] = {{"models", std::move(models)}, {"role", target.role}};
    }
    return all;
}

// Throws Json::exception on a value of the wrong type.
std::map<UpstreamId, UpstreamTarget> decodeTargets(const Json &json)
{
    std::map<UpstreamId, UpstreamTarget> targets;
    for (const auto &[id, value] : json.items()) {
        auto &target = targets[UpstreamId(id)];
        target.role = value.at("role").get<std::string>();
        for (const auto &[model, modelTarget] : value.at("models").items()) {
            auto &entry = target.models[ModelName(model)];
            entry.version = modelTarget.at("version").get<std::string>();
            entry.adapters = modelTarget.at("adapters").get<std::set<std::string>>();
        }
    }
    return targets;
}

} // namespace

std::string encodePlacement(const PlacementState &state)
{
    return Json{{"generation", state.generation},
                {"fencing", state.fencing},
                {"desired", encodeTargets(state.desired)},
                {"applied", encodeTargets(state.applied)}}
            .dump();
}

std::optional<PlacementState> decodePlacement(const std::string &text)
{
    try {
        const auto json = Json::parse(text);
        PlacementState state;
        state.generation = json.at("generation").get<std::uint64_t>();
        state.fencing = json.at("fencing").get<std::uint64_t>();
        state.desired = decodeTargets(json.at("desired"));
        state.applied = decodeTargets(json.at("applied"));
        return state;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string encodeOrder(const UpstreamOrder &order)
{
    return Json{{"kind", nameOf(kOrderKindNames, order.kind)},
                {"model", order.model.value},
                {"value", order.value},
                {"generation", order.generation},
                {"fencing", order.fencing}}
            .dump();
}

} // namespace hawthornslip
