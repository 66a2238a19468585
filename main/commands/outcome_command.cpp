#include "main/commands/operator_options.h"

#include <fmt/format.h>

namespace hawthornslip {

namespace {

ExitCode showOutcome(OperatorClient &client, const std::string &key, bool json)
{
    const auto reply = client.get("/v1/outcomes/" + key);
    if (!reply.ok())
        return reportFailure(reply);
    if (json) {
        fmt::print("{}\n", reply.body.dump());
        return ExitCode::Success;
    }
    for (const auto &[name, value] : reply.body.items())
        fmt::print("{:<16} {}\n", name,
                   value.is_string() ? value.get<std::string>() : value.dump());
    return ExitCode::Success;
}

} // namespace

void addOutcomeCommand(CLI::App &app, CommandContext &context)
{
    auto *outcome = app.add_subcommand("outcome", "Show what became of a request by its key");
    const auto endpoint =
            std::make_shared<OperatorOptions>(OperatorOptions{{"http://127.0.0.1:8080", ""}, ""});
    const auto key = std::make_shared<std::string>();
    outcome->add_option("idempotency_key", *key, "Idempotency key of the request")->required();
    outcome->add_option("--node", endpoint->endpoint.url, "Caller address of a node")
            ->envname("HAWTHORNSLIP_CALLER_NODE")
            ->capture_default_str();
    outcome->add_option("--key", endpoint->endpoint.key, "Workspace key")
            ->envname("HAWTHORNSLIP_WORKSPACE_KEY");
    outcome->add_option("--ca-file", endpoint->caFile, "Certificates to trust for https")
            ->envname("HAWTHORNSLIP_CA_FILE");
    addExamples(*outcome, "hawthornslip outcome order-4711 --key $KEY");
    setCallback(*outcome, context, [=, &context] {
        return withOperatorClient(*endpoint, [&](OperatorClient &client) {
            return showOutcome(client, *key, context.json);
        });
    });
}

} // namespace hawthornslip
