#pragma once

#include "core/nearest_name.h"
#include "drivers/toml/settings_keys.h"
#include "drivers/toml/settings_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip {

/** Reads a document by a schema into a target and collects all faults. */
template <typename Target>
class SchemaReader
{
public:
    using Schema = std::vector<SettingsKey<Target>>;

    SchemaReader(const Schema &schema, Target &target, std::vector<SettingsFault> &faults)
        : m_schema(schema)
        , m_target(target)
        , m_faults(faults)
    {}

    /** Stores all values of @p document; unknown and missing keys are faults. */
    void read(const TomlDocument &document)
    {
        const auto sections = knownSections();
        for (const auto &[section, values] : document.sections) {
            if (!section.empty() &&
                std::find(sections.begin(), sections.end(), section) == sections.end()) {
                m_faults.push_back({section, document.sectionLines.at(section),
                                    unknownMessage("section", section, sections)});
                continue;
            }
            readSection(section, values);
        }
        for (const auto &it : m_schema) {
            if (it.required && !hasKey(document, it))
                m_faults.push_back({dottedKey(it.section, it.name), 0, "is required"});
        }
    }

private:
    static std::string dottedKey(std::string_view section, std::string_view name)
    {
        return section.empty() ? std::string(name) : fmt::format("{}.{}", section, name);
    }

    static std::string unknownMessage(std::string_view what, std::string_view name,
                                      const std::vector<std::string_view> &known)
    {
        const auto nearest = nearestName(name, known);
        return nearest.empty() ? fmt::format("unknown {}", what)
                               : fmt::format("unknown {}; did you mean \"{}\"?", what, nearest);
    }

    std::vector<std::string_view> knownSections() const
    {
        std::vector<std::string_view> names;
        for (const auto &it : m_schema) {
            if (std::find(names.begin(), names.end(), it.section) == names.end())
                names.push_back(it.section);
        }
        return names;
    }

    std::vector<std::string_view> knownKeys(std::string_view section) const
    {
        std::vector<std::string_view> names;
        for (const auto &it : m_schema) {
            if (it.section == section)
                names.push_back(it.name);
        }
        return names;
    }

    const SettingsKey<Target> *findKey(std::string_view section, std::string_view name) const
    {
        for (const auto &it : m_schema) {
            if (it.section == section && it.name == name)
                return &it;
        }
        return nullptr;
    }

    void readSection(const std::string &section, const std::map<std::string, TomlValue> &values)
    {
        for (const auto &[name, value] : values) {
            const auto *key = findKey(section, name);
            const std::string message = key == nullptr
                                                ? unknownMessage("key", name, knownKeys(section))
                                                : key->store(value, m_target);
            if (!message.empty())
                m_faults.push_back({dottedKey(section, name), value.line, message});
        }
    }

    static bool hasKey(const TomlDocument &document, const SettingsKey<Target> &key)
    {
        const auto section = document.sections.find(std::string(key.section));
        return section != document.sections.end() &&
               section->second.contains(std::string(key.name));
    }

    const Schema &m_schema;
    Target &m_target;
    std::vector<SettingsFault> &m_faults;
};

} // namespace hawthornslip
