#include "main/commands/config_check.h"

#include "core/file_text.h"
#include "drivers/toml/settings_reader.h"
#include "modules/config/config_document.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

/** A fault formatted as text and as JSON. */
struct PrintedFault
{
    std::string text;
    Json json;
};

std::vector<PrintedFault> checkSettings(const std::string &path)
{
    std::vector<PrintedFault> faults;
    for (const auto &it : readSettings(path).faults) {
        faults.push_back({formatFault(path, it),
                          {{"key", it.key}, {"line", it.line}, {"message", it.message}}});
    }
    return faults;
}

std::vector<PrintedFault> checkDocument(const std::string &path)
{
    const auto text = readFileText(path);
    if (!text)
        return {{path + ": the file cannot be read", {{"message", "the file cannot be read"}}}};
    std::vector<PrintedFault> faults;
    for (const auto &it : ConfigDocument::parse(*text).faults) {
        faults.push_back({fmt::format("{}: {}: {}", path, it.path, it.message),
                          {{"path", it.path}, {"message", it.message}}});
    }
    return faults;
}

} // namespace

ExitCode checkFile(const std::string &path, bool json)
{
    const auto faults = path.ends_with(".toml") ? checkSettings(path) : checkDocument(path);
    if (json) {
        Json list = Json::array();
        for (const auto &it : faults)
            list.push_back(it.json);
        fmt::print("{}\n", Json{{"valid", faults.empty()}, {"faults", list}}.dump());
    } else {
        for (const auto &it : faults)
            fmt::print(stderr, "{}\n", it.text);
        fmt::print("{}: {}\n", path,
                   faults.empty() ? "valid" : fmt::format("{} faults", faults.size()));
    }
    return faults.empty() ? ExitCode::Success : ExitCode::InvalidInput;
}

} // namespace hawthornslip
