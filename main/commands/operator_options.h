#pragma once

#include "main/commands/command.h"
#include "servers/operator/operator_client.h"

#include <functional>
#include <memory>
#include <string>

namespace hawthornslip {

/** Options of the commands that call a node. */
struct OperatorOptions
{
    OperatorEndpoint endpoint{"http://127.0.0.1:8081", ""};
    /** File of CA certificates for `https://`; empty uses the system's. */
    std::string caFile;
};

/** Adds `--node`, `--key` and `--ca-file` to @p app. @return the options that parsing sets. */
std::shared_ptr<OperatorOptions> addOperatorOptions(CLI::App &app);

/** Calls @p use with a client for the node in @p options. */
ExitCode withOperatorClient(const OperatorOptions &options,
                            const std::function<ExitCode(OperatorClient &)> &use);

/** Prints the error of a failed @p reply on standard error. @return the matching exit code. */
ExitCode reportFailure(const OperatorReply &reply);

/** Reads a JSON file; prints a read or parse error. @return nullopt after an error. */
std::optional<nlohmann::json> readJsonFile(const std::string &path);

} // namespace hawthornslip
