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
 * Reads the fields of one JSON object into variables. A field that is missing leaves its variable
 * as it is; one of another type adds a fault. finish() reports the fields that nothing asked for.
 */
class JsonObjectReader
{
public:
    /**
     * @param value anything but an object adds a fault and has no fields.
     * @param path names the object in faults.
     */
    JsonObjectReader(const nlohmann::json &value, std::string path, ConfigFaults &faults);

    /** Adds a fault when the field @p name is missing. */
    void require(std::string_view name);

    /** @return true when the field @p name is there. */
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

    /** Reads one of the names in @p table. */
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

    /** @return the array @p name, or nullptr when it is missing or no array. */
    const nlohmann::json *readArray(std::string_view name);

    /** @return the path of the field @p name. */
    std::string pathOf(std::string_view name) const;

    /** Adds a fault for each field that was not asked for, with the nearest known name. */
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

/** Adds a fault unless there are too many already. */
void addConfigFault(ConfigFaults &faults, std::string path, std::string message);

} // namespace hawthornslip
