#pragma once

#include "main/exit_codes.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <span>
#include <string>

namespace hawthornslip {

/** State shared by all commands: output format and exit code of the command that ran. */
struct CommandContext
{
    bool json = false;
    ExitCode result = ExitCode::Success;
};

/** Runs @p run when @p app is parsed and uses its result as exit code; adds `--json`. */
void setCallback(CLI::App &app, CommandContext &context, std::function<ExitCode()> run);

/** Adds a footer with examples to the help text of @p app. */
void addExamples(CLI::App &app, const std::string &examples);

// Each function adds one command with its options to the command line.
void addServeCommand(CLI::App &app, CommandContext &context);
void addGatewayCommand(CLI::App &app, CommandContext &context);
void addConfigCommand(CLI::App &app, CommandContext &context);
void addProfileCommand(CLI::App &app, CommandContext &context);
void addUpstreamCommand(CLI::App &app, CommandContext &context);
void addStatusCommand(CLI::App &app, CommandContext &context);
void addOutcomeCommand(CLI::App &app, CommandContext &context);
void addKeysCommand(CLI::App &app, CommandContext &context);
void addLoadCommand(CLI::App &app, CommandContext &context);

/** A function that adds a command. */
using AddCommand = void (*)(CLI::App &, CommandContext &);

/** Parses the arguments and runs one of @p commands. @return the exit code. */
int runCommandLine(int argc, char **argv, std::span<const AddCommand> commands);

} // namespace hawthornslip
