#include "main/commands/config_check.h"
#include "main/commands/operator_options.h"

#include <fmt/format.h>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

constexpr int kDefaultWaitSeconds = 15;

ExitCode showConfig(OperatorClient &client)
{
    const auto config = client.get("/admin/config");
    if (!config.ok())
        return reportFailure(config);
    fmt::print("{}\n", config.body.dump(2));
    return ExitCode::Success;
}

ExitCode showHistory(OperatorClient &client, bool json)
{
    const auto history = client.get("/admin/config/history");
    if (!history.ok())
        return reportFailure(history);
    if (json) {
        fmt::print("{}\n", history.body.dump());
        return ExitCode::Success;
    }
    fmt::print("{:>10}  {}\n", "generation", "author");
    for (const auto &it : history.body.value("history", Json::array()))
        fmt::print("{:>10}  {}\n", it.value("generation", 0), it.value("author", ""));
    return ExitCode::Success;
}

ExitCode diffConfig(OperatorClient &client, const std::string &path, bool json)
{
    const auto document = readJsonFile(path);
    if (!document)
        return ExitCode::InvalidInput;
    const auto config = client.get("/admin/config");
    if (!config.ok())
        return reportFailure(config);
    const Json patch = Json::diff(config.body, *document);
    if (json) {
        fmt::print("{}\n", patch.dump());
        return ExitCode::Success;
    }
    for (const auto &it : patch) {
        fmt::print("{:<8} {} {}\n", it.value("op", ""), it.value("path", ""),
                   it.contains("value") ? it.at("value").dump() : "");
    }
    return ExitCode::Success;
}

ExitCode printApplyResult(const Json &body, bool waited, bool json)
{
    const auto missing = body.value("not_in_force", Json::array());
    const bool isUnknown = body.contains("wait_ended");
    if (json) {
        fmt::print("{}\n", body.dump());
    } else {
        fmt::print("accepted as generation {}\n", body.value("generation", 0));
        for (const auto &it : missing)
            fmt::print("not in force on {}\n", it.get<std::string>());
        if (isUnknown)
            fmt::print("the node stopped before it knew where it is in force\n");
        else if (waited && missing.empty())
            fmt::print("in force on {} nodes\n", body.value("in_force", Json::array()).size());
    }
    return missing.empty() && !isUnknown ? ExitCode::Success : ExitCode::NotInForce;
}

struct ApplyOptions
{
    std::string path;
    bool wait = false;
    int waitSeconds = kDefaultWaitSeconds;
    bool rebase = false;
};

ExitCode applyConfig(OperatorClient &client, const ApplyOptions &options, bool json)
{
    auto document = readJsonFile(options.path);
    if (!document)
        return ExitCode::InvalidInput;
    if (options.rebase) {
        const auto config = client.get("/admin/config");
        if (!config.ok())
            return reportFailure(config);
        (*document)["generation"] = config.body.value("generation", std::uint64_t{0}) + 1;
    }
    const auto wait = options.wait ? seconds(options.waitSeconds) : Duration{0};
    const auto reply = client.applyConfig(*document, wait);
    if (!reply.ok())
        return reportFailure(reply);
    return printApplyResult(reply.body, options.wait, json);
}

void addApplyCommand(CLI::App &config, CommandContext &context)
{
    auto *apply = config.add_subcommand("apply", "Offer a document as the new configuration");
    const auto endpoint = addOperatorOptions(*apply);
    const auto options = std::make_shared<ApplyOptions>();
    apply->add_option("file", options->path,
                      "JSON document; its generation is the one that it "
                      "replaces plus one")
            ->required();
    apply->add_flag("--wait", options->wait, "Return when all live nodes have it in force");
    apply->add_option("--wait-seconds", options->waitSeconds, "Longest wait in seconds")
            ->check(CLI::Range(1, 300))
            ->capture_default_str();
    apply->add_flag("--rebase", options->rebase,
                    "Set the generation to the one in force plus one first");
    addExamples(*apply, "hawthornslip config apply shared.json --wait");
    setCallback(*apply, context, [=, &context] {
        return withOperatorClient(*endpoint, [&](OperatorClient &client) {
            return applyConfig(client, *options, context.json);
        });
    });
}

void addReadCommands(CLI::App &config, CommandContext &context)
{
    auto *show = config.add_subcommand("show", "Print the configuration in force");
    const auto showOptions = addOperatorOptions(*show);
    addExamples(*show, "hawthornslip config show > shared.json");
    setCallback(*show, context,
                [showOptions] { return withOperatorClient(*showOptions, showConfig); });

    auto *history = config.add_subcommand("history", "List recent generations and their authors");
    const auto historyOptions = addOperatorOptions(*history);
    addExamples(*history, "hawthornslip config history --json");
    setCallback(*history, context, [historyOptions, &context] {
        return withOperatorClient(*historyOptions, [&](OperatorClient &client) {
            return showHistory(client, context.json);
        });
    });

    auto *diff = config.add_subcommand("diff", "Compare the configuration in force with a file");
    const auto diffOptions = addOperatorOptions(*diff);
    const auto path = std::make_shared<std::string>();
    diff->add_option("file", *path, "JSON document")->required();
    addExamples(*diff, "hawthornslip config diff shared.json");
    setCallback(*diff, context, [=, &context] {
        return withOperatorClient(*diffOptions, [&](OperatorClient &client) {
            return diffConfig(client, *path, context.json);
        });
    });
}

} // namespace

void addConfigCommand(CLI::App &app, CommandContext &context)
{
    auto *config = app.add_subcommand("config", "Check, show and change the shared configuration");
    config->require_subcommand(1);
    auto *check = config->add_subcommand("check", "Check a settings file (.toml) or a document");
    const auto path = std::make_shared<std::string>();
    const auto against = std::make_shared<std::string>();
    check->add_option("file", *path, "Settings file, JSON document or routing configuration")
            ->required();
    check->add_option("--against", *against, "Routing configuration to compare with");
    addExamples(*check, "hawthornslip config check node.toml\n  "
                        "hawthornslip config check shared.json\n  "
                        "hawthornslip config check routes.json --against in-force.json");
    setCallback(*check, context,
                [path, against, &context] { return checkFile(*path, *against, context.json); });
    addReadCommands(*config, context);
    addApplyCommand(*config, context);
}

} // namespace hawthornslip
