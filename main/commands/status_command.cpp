#include "main/commands/operator_options.h"

#include <fmt/format.h>

namespace hawthornslip {

namespace {

void printStatus(const nlohmann::json &status)
{
    for (const auto &[name, value] : status.items()) {
        if (!value.is_array() && !value.is_object())
            fmt::print("{:<24} {}\n", name,
                       value.is_string() ? value.get<std::string>() : value.dump());
    }
}

void printNodes(const nlohmann::json &nodes)
{
    fmt::print("{:<24} {:<16} {:<10} {:>10} {:>10}\n", "node", "domain", "phase", "generation",
               "streams");
    for (const auto &it : nodes.value("nodes", nlohmann::json::array())) {
        fmt::print("{:<24} {:<16} {:<10} {:>10} {:>10}\n", it.value("node", ""),
                   it.value("domain", ""), it.value("phase", ""), it.value("generation", 0),
                   it.value("streams", 0));
    }
}

ExitCode showStatus(OperatorClient &client, bool json)
{
    const auto status = client.get("/admin/status");
    if (!status.ok())
        return reportFailure(status);
    const auto nodes = client.get("/admin/nodes");
    if (!nodes.ok())
        return reportFailure(nodes);
    if (json) {
        auto combined = status.body;
        combined["nodes"] = nodes.body.value("nodes", nlohmann::json::array());
        fmt::print("{}\n", combined.dump());
    } else {
        printStatus(status.body);
        printNodes(nodes.body);
    }
    return ExitCode::Success;
}

} // namespace

void addStatusCommand(CLI::App &app, CommandContext &context)
{
    auto *status = app.add_subcommand("status", "Show a node and the nodes that it sees");
    const auto options = addOperatorOptions(*status);
    addExamples(*status, "hawthornslip status --node http://127.0.0.1:8081");
    setCallback(*status, context, [options, &context] {
        return withOperatorClient(
                *options, [&](OperatorClient &client) { return showStatus(client, context.json); });
    });
}

} // namespace hawthornslip
