#include "core/logger.h"
#include "drivers/toml/settings_reader.h"
#include "main/commands/command.h"
#include "main/node.h"
#include "main/stop_signal.h"

#include <fmt/format.h>

#include <memory>

namespace hawthornslip {

namespace {

ExitCode serve(const std::string &path)
{
    const auto read = readSettings(path);
    for (const auto &it : read.faults)
        fmt::print(stderr, "{}\n", formatFault(path, it));
    if (!read.faults.empty())
        return ExitCode::InvalidInput;
    setLogLevel(*valueOf(kLogLevelNames, read.settings.logLevel));
    // Created before any thread, because threads inherit the mask that blocks the signals.
    StopSignal signal;
    Node node(read.settings);
    if (!node.start())
        return ExitCode::Refused;
    logEvent(LogLevel::Info, "node_started", {{"node", node.id().value}});
    signal.wait();
    node.stop();
    logEvent(LogLevel::Info, "node_stopped", {{"node", node.id().value}});
    return ExitCode::Success;
}

} // namespace

void addServeCommand(CLI::App &app, CommandContext &context)
{
    auto *command = app.add_subcommand("serve", "Run a node until SIGTERM or SIGINT");
    const auto path = std::make_shared<std::string>();
    command->add_option("--settings", *path, "Settings file")->required();
    addExamples(*command, "hawthornslip serve --settings node.toml");
    setCallback(*command, context, [path] { return serve(*path); });
}

} // namespace hawthornslip
