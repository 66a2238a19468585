#include "main/commands/command.h"

#include "main/version.h"

#include <fmt/format.h>

#include <exception>
#include <utility>

namespace hawthornslip {

void setCallback(CLI::App &app, CommandContext &context, std::function<ExitCode()> run)
{
    // Added to each command, so that the flag can follow the command's name.
    app.add_flag("--json", context.json, "Print JSON");
    app.callback([&context, run = std::move(run)] { context.result = run(); });
}

void addExamples(CLI::App &app, const std::string &examples)
{
    app.footer("Examples:\n  " + examples);
}

int runCommandLine(int argc, char **argv, std::span<const AddCommand> commands)
{
    CLI::App app{"Router for language-model traffic with service levels and priorities."};
    app.set_version_flag("--version", std::string(versionText()));
    app.require_subcommand(1);
    app.footer("Exit codes: 0 success, 1 refused, 2 invalid input, 3 node unreachable, "
               "4 conflict, 5 not in force everywhere in time.");
    CommandContext context;
    for (const auto add : commands)
        add(app, context);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? toInt(ExitCode::Success) : toInt(ExitCode::InvalidInput);
    } catch (const std::exception &error) {
        fmt::print(stderr, "hawthornslip: {}\n", error.what());
        return toInt(ExitCode::InvalidInput);
    }
    return toInt(context.result);
}

} // namespace hawthornslip
