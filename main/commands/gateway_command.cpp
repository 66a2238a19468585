#include "core/logger.h"
#include "main/commands/command.h"
#include "main/gateway_process.h"

#include <fmt/format.h>

#include <memory>
#include <utility>

namespace hawthornslip {

namespace {

ExitCode runGateway(const std::string &path, bool checkOnly)
{
    SettingsWatch watch(path);
    const auto read = watch.read();
    for (const auto &it : read.faults)
        fmt::print(stderr, "{}\n", formatFault(path, it));
    if (!read.faults.empty())
        return ExitCode::InvalidInput;
    if (checkOnly)
        return ExitCode::Success;
    setLogLevel(*valueOf(kLogLevelNames, read.settings.logLevel));
    setLogOutput(LogOutput::StandardOutput);
    GatewayProcess process(read.settings, std::move(watch));
    return process.run() ? ExitCode::Success : ExitCode::Refused;
}

} // namespace

void addGatewayCommand(CLI::App &app, CommandContext &context)
{
    auto *command = app.add_subcommand("gateway", "Run a gateway on the users' platform until "
                                                  "SIGTERM or SIGINT");
    const auto path = std::make_shared<std::string>();
    const auto checkOnly = std::make_shared<bool>(false);
    command->add_option("--settings", *path, "Settings file")
            ->envname("HAWTHORNSLIP_NODE_FILE")
            ->required();
    command->add_flag("--check", *checkOnly, "Check the settings file and exit");
    addExamples(*command, "hawthornslip gateway --settings gateway.toml");
    setCallback(*command, context, [path, checkOnly] { return runGateway(*path, *checkOnly); });
}

} // namespace hawthornslip
