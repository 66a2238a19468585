#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/time.h"
#include "modules/config/config_fault.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip {

/**
 * Reads the fields of one JSON object into variables. A missing field leaves its variable
 * unchanged; a field of another type adds a fault. reportUnknownFields() reports the fields that
 * were not read.
 */
class JsonObjectReader
{
public:
    /**
     * @param value the object; a value of another type adds a fault and has no fields.
     * @param path path of the object in the document, for faults.
     */
    JsonObjectReader(const nlohmann::json &value, std::string path, ConfigFaults &faults);

    /** Adds a fault when the field @p name is missing. */
    void require(std::string_view name);

    /** @return true when the field @p name exists. */
    bool has(std::string_view name) const;

    void read(std::string_view name, std::string &out);
    void read(std::string_view name, bool &out);
    void read(std::string_view name, double &out);
    void read(std::string_view name, std::uint64_t &out);
    void read(std::string_view name, std::uint32_t &out);
    void read(std::string_view name, int &out);
    void read(std::string_view name, std::vector<std::string> &out);

    template <typename Tag>
    void read(std::string_view name, StrongId<Tag> &out)
    {
        read(name, out.value);
    }

    template <typename Tag>
    void read(std::string_view name, std::vector<StrongId<Tag>> &out)
    {
        std::vector<std::string> texts;
        read(name, texts);
        for (auto &it : texts)
            out.emplace_back(std::move(it));
    }

    /** Reads a whole number of milliseconds. */
    void readMillis(std::string_view name, Duration &out);

    /** Reads an enum value by its name in @p table. */
    template <typename Enum, std::size_t N>
    void readEnum(std::string_view name, const EnumNames<Enum, N> &table, Enum &out)
    {
        std::string text(nameOf(table, out));
        read(name, text);
        if (const auto value = valueOf(table, text)) {
            out = *value;
            return;
        }
        std::string known;
        for (const auto &[value, it] : table)
            known += (known.empty() ? "\"" : ", \"") + std::string(it) + "\"";
        addFault(name, "must be one of " + known);
    }

    /** @return the array @p name, or nullptr when it is missing or not an array. */
    const nlohmann::json *readArray(std::string_view name);

    /** @return the path of the field @p name. */
    std::string pathOf(std::string_view name) const;

    /** Adds a fault for each field that was not read, with the nearest known name. */
    void reportUnknownFields();

private:
    const nlohmann::json *findField(std::string_view name);
    void addFault(std::string_view name, std::string message);
    void readUnsigned(std::string_view name, std::uint64_t limit, std::uint64_t &out);

    const nlohmann::json &m_value;
    std::string m_path;
    ConfigFaults &m_faults;
    std::vector<std::string_view> m_knownNames;
};

/** Adds a fault; after kMaxConfigFaults only one more entry says that others are not listed. */
void addConfigFault(ConfigFaults &faults, std::string path, std::string message);

} // namespace hawthornslip
