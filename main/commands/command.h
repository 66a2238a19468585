#pragma once

#include "main/exit_codes.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <span>
#include <string>

namespace hawthornslip {

/** What all commands share: the result of the command that ran and the form of its output. */
struct CommandContext
{
    bool json = false;
    ExitCode result = ExitCode::Success;
};

/** Sets @p run as what @p app does; its result becomes the exit code. */
void onRun(CLI::App &app, CommandContext &context, std::function<ExitCode()> run);

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
