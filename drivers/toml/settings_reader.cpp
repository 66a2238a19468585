#include "drivers/toml/settings_reader.h"

#include "core/file_text.h"
#include "core/nearest_name.h"
#include "drivers/toml/settings_schema.h"

#include <fmt/format.h>

#include <algorithm>

namespace hawthornslip {

namespace {

std::string dottedKey(std::string_view section, std::string_view name)
{
    return section.empty() ? std::string(name) : fmt::format("{}.{}", section, name);
}

std::string unknownMessage(std::string_view what, std::string_view name,
                           const std::vector<std::string_view> &known)
{
    const auto nearest = nearestName(name, known);
    return nearest.empty() ? fmt::format("unknown {}", what)
                           : fmt::format("unknown {}; did you mean \"{}\"?", what, nearest);
}

std::vector<std::string_view> knownSections()
{
    std::vector<std::string_view> names;
    for (const auto &it : settingsSchema()) {
        if (std::find(names.begin(), names.end(), it.section) == names.end())
            names.push_back(it.section);
    }
    return names;
}

std::vector<std::string_view> knownKeys(std::string_view section)
{
    std::vector<std::string_view> names;
    for (const auto &it : settingsSchema()) {
        if (it.section == section)
            names.push_back(it.name);
    }
    return names;
}

const SettingsKey *findKey(std::string_view section, std::string_view name)
{
    for (const auto &it : settingsSchema()) {
        if (it.section == section && it.name == name)
            return &it;
    }
    return nullptr;
}

void readSection(const std::string &section, const std::map<std::string, TomlValue> &values,
                 SettingsResult &result)
{
    for (const auto &[name, value] : values) {
        const SettingsKey *key = findKey(section, name);
        const std::string message = key == nullptr ? unknownMessage("key", name, knownKeys(section))
                                                   : key->store(value, result.settings);
        if (!message.empty())
            result.faults.push_back({dottedKey(section, name), value.line, message});
    }
}

bool hasKey(const TomlDocument &document, const SettingsKey &key)
{
    const auto section = document.sections.find(std::string(key.section));
    return section != document.sections.end() && section->second.contains(std::string(key.name));
}

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
    const auto sections = knownSections();
    for (const auto &[section, values] : document.sections) {
        if (!section.empty() &&
            std::find(sections.begin(), sections.end(), section) == sections.end()) {
            result.faults.push_back({section, document.sectionLines.at(section),
                                     unknownMessage("section", section, sections)});
            continue;
        }
        readSection(section, values, result);
    }
    for (const auto &it : settingsSchema()) {
        if (it.required && !hasKey(document, it))
            result.faults.push_back({dottedKey(it.section, it.name), 0, "is required"});
    }
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

std::string formatFault(const std::string &path, const SettingsFault &fault)
{
    std::string text = path;
    if (fault.line > 0)
        text += fmt::format(":{}", fault.line);
    if (!fault.key.empty())
        text += ": " + fault.key;
    return text + ": " + fault.message;
}

} // namespace hawthornslip
