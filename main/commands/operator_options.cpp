#include "main/commands/operator_options.h"

#include "core/file_text.h"
#include "drivers/http/curl_upstream_client.h"

#include <fmt/format.h>

namespace hawthornslip {

namespace {

constexpr int kConflictStatus = 409;
constexpr int kUnprocessableStatus = 422;

std::string errorMessage(const nlohmann::json &body)
{
    const nlohmann::json::json_pointer pointer("/error/message");
    if (body.is_object() && body.contains(pointer) && body.at(pointer).is_string())
        return body.at(pointer).get<std::string>();
    return "no reason given";
}

} // namespace

std::shared_ptr<OperatorOptions> addOperatorOptions(CLI::App &app)
{
    auto options = std::make_shared<OperatorOptions>();
    app.add_option("--node", options->endpoint.url, "Operator address of a node")
            ->envname("HAWTHORNSLIP_NODE")
            ->capture_default_str();
    app.add_option("--key", options->endpoint.key, "Operator key")
            ->envname("HAWTHORNSLIP_OPERATOR_KEY");
    app.add_option("--ca-file", options->caFile, "Certificates to trust for https")
            ->envname("HAWTHORNSLIP_CA_FILE");
    return options;
}

ExitCode withOperatorClient(const OperatorOptions &options,
                            const std::function<ExitCode(OperatorClient &)> &use)
{
    CurlUpstreamClient http(options.caFile);
    OperatorClient client(http, options.endpoint);
    return use(client);
}

ExitCode reportFailure(const OperatorReply &reply)
{
    if (!reply.reached) {
        fmt::print(stderr, "hawthornslip: the node did not answer: {}\n", reply.message);
        return ExitCode::Unreachable;
    }
    fmt::print(stderr, "hawthornslip: refused ({}): {}\n", reply.status, errorMessage(reply.body));
    if (reply.status == kConflictStatus)
        return ExitCode::Conflict;
    if (reply.status != kUnprocessableStatus)
        return ExitCode::Refused;
    for (const auto &it : reply.body.value("faults", nlohmann::json::array()))
        fmt::print(stderr, "  {}: {}\n", it.value("path", ""), it.value("message", ""));
    return ExitCode::InvalidInput;
}

std::optional<nlohmann::json> readJsonFile(const std::string &path)
{
    const auto text = readFileText(path);
    if (!text) {
        fmt::print(stderr, "{}: the file cannot be read\n", path);
        return std::nullopt;
    }
    try {
        return nlohmann::json::parse(*text);
    } catch (const nlohmann::json::parse_error &error) {
        fmt::print(stderr, "{}: {}\n", path, error.what());
        return std::nullopt;
    }
}

} // namespace hawthornslip
