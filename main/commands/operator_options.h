#pragma once

#include "main/commands/command.h"
#include "servers/operator/operator_client.h"

#include <functional>
#include <memory>
#include <string>

namespace hawthornslip {

/** The options of all commands that call a node's operator interface. */
struct OperatorOptions
{
    OperatorEndpoint endpoint{"http://127.0.0.1:8081", ""};
    /** Certificates to trust for `https://`; empty trusts those of the system. */
    std::string caFile;
};

/** Adds `--node` and `--key` to @p app. @return the options that parsing fills. */
std::shared_ptr<OperatorOptions> addOperatorOptions(CLI::App &app);

/** Runs @p use with a client of the node that @p options name. */
ExitCode withOperatorClient(const OperatorOptions &options,
                            const std::function<ExitCode(OperatorClient &)> &use);

/** Prints what went wrong with @p reply on standard error. @return the matching exit code. */
ExitCode reportFailure(const OperatorReply &reply);

/** Reads a JSON file; prints what is wrong with it. @return nothing when there was a fault. */
std::optional<nlohmann::json> readJsonFile(const std::string &path);

} // namespace hawthornslip
