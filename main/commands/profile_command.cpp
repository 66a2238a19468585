#include "main/commands/operator_options.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

ExitCode listProfiles(OperatorClient &client, bool json)
{
    const auto config = client.get("/admin/config");
    if (!config.ok())
        return reportFailure(config);
    const auto profiles = config.body.value("profiles", Json::array());
    if (json) {
        fmt::print("{}\n", profiles.dump());
        return ExitCode::Success;
    }
    fmt::print("{:<24} {:>4} {:<10} {:>18}\n", "profile", "tier", "idempotent", "first token (ms)");
    for (const auto &it : profiles) {
        fmt::print("{:<24} {:>4} {:<10} {:>18}\n", it.value("name", ""), it.value("tier", 0),
                   it.value("idempotent", true), it.value("first_token_target_ms", 0));
    }
    return ExitCode::Success;
}

/** Parses a JSON scalar; any other text becomes a string. */
Json parseValue(const std::string &text)
{
    Json value = Json::parse(text, nullptr, false);
    return value.is_discarded() || value.is_structured() ? Json(text) : value;
}

/** @return false when an assignment does not have the form field=value. */
bool assignFields(Json &profile, const std::vector<std::string> &assignments)
{
    for (const auto &it : assignments) {
        const auto equals = it.find('=');
        if (equals == std::string::npos || equals == 0) {
            fmt::print(stderr, "hawthornslip: \"{}\" is not of the form field=value\n", it);
            return false;
        }
        profile[it.substr(0, equals)] = parseValue(it.substr(equals + 1));
    }
    return true;
}

Json &findOrAddProfile(Json &document, const std::string &name)
{
    auto &profiles = document["profiles"];
    const auto it = std::find_if(profiles.begin(), profiles.end(), [&](const Json &profile) {
        return profile.value("name", "") == name;
    });
    if (it != profiles.end())
        return *it;
    profiles.push_back({{"name", name}});
    return profiles.back();
}

ExitCode setProfile(OperatorClient &client, const std::string &name,
                    const std::vector<std::string> &assignments, bool json)
{
    auto config = client.get("/admin/config");
    if (!config.ok())
        return reportFailure(config);
    auto &document = config.body;
    if (!assignFields(findOrAddProfile(document, name), assignments))
        return ExitCode::InvalidInput;
    document["generation"] = document.value("generation", std::uint64_t{0}) + 1;
    const auto reply = client.applyConfig(document, Duration{0});
    if (!reply.ok())
        return reportFailure(reply);
    if (json)
        fmt::print("{}\n", reply.body.dump());
    else
        fmt::print("profile {}: accepted as generation {}\n", name,
                   reply.body.value("generation", 0));
    return ExitCode::Success;
}

} // namespace

void addProfileCommand(CLI::App &app, CommandContext &context)
{
    auto *profile = app.add_subcommand("profile", "List and change profiles");
    profile->require_subcommand(1);
    auto *list = profile->add_subcommand("list", "List the profiles in force");
    const auto listOptions = addOperatorOptions(*list);
    addExamples(*list, "hawthornslip profile list");
    setCallback(*list, context, [listOptions, &context] {
        return withOperatorClient(*listOptions, [&](OperatorClient &client) {
            return listProfiles(client, context.json);
        });
    });

    auto *set = profile->add_subcommand("set", "Change fields of a profile, or add one");
    const auto options = addOperatorOptions(*set);
    const auto name = std::make_shared<std::string>();
    const auto fields = std::make_shared<std::vector<std::string>>();
    set->add_option("profile", *name, "Name of the profile")->required();
    set->add_option("fields", *fields, "Fields as field=value")->required();
    addExamples(*set, "hawthornslip profile set summaries tier=2 first_token_target_ms=5000");
    setCallback(*set, context, [=, &context] {
        return withOperatorClient(*options, [&](OperatorClient &client) {
            return setProfile(client, *name, *fields, context.json);
        });
    });
}

} // namespace hawthornslip
