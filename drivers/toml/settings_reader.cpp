#include "drivers/toml/settings_reader.h"

#include "core/file_text.h"
#include "drivers/toml/schema_reader.h"
#include "drivers/toml/settings_schema.h"

#include <fmt/format.h>

#include <algorithm>

namespace hawthornslip {

namespace {

void checkTls(const TlsFiles &files, std::string_view section, SettingsResult &result)
{
    if (files.certificate.empty() != files.key.empty()) {
        result.faults.push_back(
                {std::string(section), 0, "tls_certificate and tls_key must be given together"});
    }
}

SettingsResult readDocument(const TomlDocument &document)
{
    SettingsResult result;
    SchemaReader<Settings>(settingsSchema(), result.settings, result.faults).read(document);
    checkTls(result.settings.caller.tls, "caller", result);
    checkTls(result.settings.operators.tls, "operator", result);
    std::stable_sort(result.faults.begin(), result.faults.end(),
                     [](const auto &a, const auto &b) { return a.line < b.line; });
    return result;
}

} // namespace

SettingsResult parseSettings(std::string_view text)
{
    try {
        return readDocument(parseToml(text));
    } catch (const TomlError &error) {
        SettingsResult result;
        result.faults.push_back({"", error.line(), error.what()});
        return result;
    }
}

SettingsResult readSettings(const std::string &path)
{
    const auto text = readFileText(path);
    if (!text) {
        SettingsResult result;
        result.faults.push_back({"", 0, "the file cannot be read"});
        return result;
    }
    return parseSettings(*text);
}

} // namespace hawthornslip
