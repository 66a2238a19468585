#include "main/commands/operator_options.h"

#include <fmt/format.h>

namespace hawthornslip {

namespace {

ExitCode listUpstreams(OperatorClient &client, bool json)
{
    const auto config = client.get("/admin/config");
    if (!config.ok())
        return reportFailure(config);
    const auto upstreams = config.body.value("upstreams", nlohmann::json::array());
    if (json) {
        fmt::print("{}\n", upstreams.dump());
        return ExitCode::Success;
    }
    fmt::print("{:<20} {:<12} {:<16} {:<10} {}\n", "upstream", "kind", "domain", "state", "models");
    for (const auto &it : upstreams) {
        fmt::print("{:<20} {:<12} {:<16} {:<10} {}\n", it.value("id", ""), it.value("kind", ""),
                   it.value("domain", ""), it.value("state", "active"),
                   it.value("models", nlohmann::json::array()).dump());
    }
    return ExitCode::Success;
}

ExitCode sendDrainAction(OperatorClient &client, const std::string &id, const std::string &action,
                         bool json)
{
    const auto reply =
            client.send("POST", fmt::format("/admin/upstreams/{}/{}", id, action), nullptr);
    if (!reply.ok())
        return reportFailure(reply);
    if (json)
        fmt::print("{}\n", reply.body.dump());
    else
        fmt::print("{} {}: accepted as generation {}\n", action, id,
                   reply.body.value("generation", 0));
    return ExitCode::Success;
}

void addDrainCommand(CLI::App &parent, CommandContext &context, const std::string &action,
                     const std::string &help)
{
    auto *command = parent.add_subcommand(action, help);
    const auto options = addOperatorOptions(*command);
    const auto id = std::make_shared<std::string>();
    command->add_option("upstream", *id, "Id of the upstream")->required();
    addExamples(*command, fmt::format("hawthornslip upstream {} engine-3", action));
    setCallback(*command, context, [=, &context] {
        return withOperatorClient(*options, [&](OperatorClient &client) {
            return sendDrainAction(client, *id, action, context.json);
        });
    });
}

} // namespace

void addUpstreamCommand(CLI::App &app, CommandContext &context)
{
    auto *upstream = app.add_subcommand("upstream", "List and drain upstreams");
    upstream->require_subcommand(1);
    auto *list = upstream->add_subcommand("list", "List the upstreams of the configuration");
    const auto options = addOperatorOptions(*list);
    addExamples(*list, "hawthornslip upstream list --json");
    setCallback(*list, context, [options, &context] {
        return withOperatorClient(*options, [&](OperatorClient &client) {
            return listUpstreams(client, context.json);
        });
    });
    addDrainCommand(*upstream, context, "drain", "Give an upstream no new work");
    addDrainCommand(*upstream, context, "undrain", "Give an upstream work again");
}

} // namespace hawthornslip
