#include "main/commands/config_check.h"

#include "core/file_text.h"
#include "drivers/toml/settings_reader.h"
#include "modules/config/config_document.h"
#include "modules/routing/routing_check.h"
#include "modules/routing/routing_diff.h"
#include "platform/config_paths.h"
#include "platform/decoders.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

/** A fault or a warning formatted as text and as JSON. */
struct PrintedFault
{
    std::string text;
    Json json;
    bool isError = true;
};

/** The result of a check. */
struct CheckResult
{
    std::vector<PrintedFault> faults;
    /** Lines that tell what differs from another version. */
    std::vector<std::string> differences;

    bool ok() const
    {
        return std::none_of(faults.begin(), faults.end(),
                            [](const auto &it) { return it.isError; });
    }
};

/** A routing configuration read from a file, or why that failed. */
struct ReadRouting
{
    std::optional<RoutingConfig> config;
    std::string fault;
};

CheckResult failedCheck(const std::string &path, const std::string &message)
{
    return {{{path + ": " + message, {{"message", message}}}}, {}};
}

CheckResult checkSettings(const std::string &path)
{
    CheckResult result;
    for (const auto &it : readSettings(path).faults) {
        result.faults.push_back({formatFault(path, it),
                                 {{"key", it.key}, {"line", it.line}, {"message", it.message}}});
    }
    return result;
}

CheckResult checkDocument(const std::string &path, const std::string &text)
{
    CheckResult result;
    for (const auto &it : ConfigDocument::parse(text).faults) {
        result.faults.push_back({fmt::format("{}: {}: {}", path, it.path, it.message),
                                 {{"path", it.path}, {"message", it.message}}});
    }
    return result;
}

/** @return the routing configuration in @p json, which may be the whole object of the store. */
const Json &routingOf(const Json &json)
{
    const auto spec = json.is_object() ? json.find("spec") : json.end();
    return spec != json.end() && spec->is_object() ? *spec : json;
}

bool isRouting(const Json &json)
{
    return json.is_object() && routingOf(json).contains("routes");
}

ReadRouting readRouting(const std::string &text)
{
    try {
        auto decoded = platform::decodeConfig("main", routingOf(Json::parse(text)));
        return {std::move(decoded.value), std::move(decoded.fault)};
    } catch (const Json::exception &error) {
        return {std::nullopt, error.what()};
    }
}

CheckResult checkRoutingFile(const std::string &path, const std::string &text,
                             const std::string &against)
{
    const auto read = readRouting(text);
    if (!read.config)
        return failedCheck(path, read.fault);
    CheckResult result;
    for (const auto &it : checkRouting(*read.config)) {
        const auto place = platform::documentPath(it.path);
        const auto severity = it.isError ? "error" : "warning";
        const auto flaw = nameOf(kRoutingFlawNames, it.flaw);
        result.faults.push_back(
                {fmt::format("{}: {}: {}: {} ({})", path, severity, place, it.message, flaw),
                 {{"path", place}, {"severity", severity}, {"flaw", flaw}, {"message", it.message}},
                 it.isError});
    }
    if (against.empty())
        return result;
    const auto other = readFileText(against);
    const auto before = other ? readRouting(*other) : ReadRouting{{}, "the file cannot be read"};
    if (!before.config)
        return failedCheck(against, before.fault);
    result.differences = diffRouting(*before.config, *read.config);
    return result;
}

CheckResult check(const std::string &path, const std::string &against)
{
    if (path.ends_with(".toml"))
        return checkSettings(path);
    const auto text = readFileText(path);
    if (!text)
        return failedCheck(path, "the file cannot be read");
    const auto json = Json::parse(*text, nullptr, false);
    if (isRouting(json))
        return checkRoutingFile(path, *text, against);
    if (!against.empty() && !json.is_discarded())
        return failedCheck(path, "only a routing configuration is compared with another");
    return checkDocument(path, *text);
}

} // namespace

ExitCode checkFile(const std::string &path, const std::string &against, bool json)
{
    const auto result = check(path, against);
    if (json) {
        Json list = Json::array();
        for (const auto &it : result.faults)
            list.push_back(it.json);
        fmt::print(
                "{}\n",
                Json{{"valid", result.ok()}, {"faults", list}, {"differences", result.differences}}
                        .dump());
    } else {
        for (const auto &it : result.faults)
            fmt::print(stderr, "{}\n", it.text);
        for (const auto &it : result.differences)
            fmt::print("{}\n", it);
        fmt::print("{}: {}\n", path,
                   result.faults.empty() ? "valid"
                                         : fmt::format("{}{} faults", result.ok() ? "valid, " : "",
                                                       result.faults.size()));
    }
    return result.ok() ? ExitCode::Success : ExitCode::InvalidInput;
}

} // namespace hawthornslip
