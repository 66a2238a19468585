#include "modules/config/json_object_reader.h"

#include "core/nearest_name.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxReportedNameLength = 64;

// Bounds the size of the fault report when a malicious document has very long field names.
std::string truncated(std::string_view text)
{
    if (text.size() <= kMaxReportedNameLength)
        return std::string(text);
    return std::string(text.substr(0, kMaxReportedNameLength)) + "...";
}

} // namespace

void addConfigFault(ConfigFaults &faults, std::string path, std::string message)
{
    if (faults.size() < kMaxConfigFaults)
        faults.push_back({std::move(path), std::move(message)});
    else if (faults.size() == kMaxConfigFaults)
        faults.push_back({"", "more faults are not listed"});
}

JsonObjectReader::JsonObjectReader(const Json &value, std::string path, ConfigFaults &faults)
    : m_value(value)
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (!m_value.is_object())
        addConfigFault(m_faults, m_path, "must be an object");
}

std::string JsonObjectReader::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

void JsonObjectReader::addFault(std::string_view name, std::string message)
{
    addConfigFault(m_faults, pathOf(name), std::move(message));
}

bool JsonObjectReader::has(std::string_view name) const
{
    return m_value.is_object() && m_value.contains(std::string(name));
}

void JsonObjectReader::require(std::string_view name)
{
    if (m_value.is_object() && !has(name))
        addFault(name, "is missing");
}

const Json *JsonObjectReader::findField(std::string_view name)
{
    m_knownNames.push_back(name);
    if (!m_value.is_object())
        return nullptr;
    const auto it = m_value.find(std::string(name));
    return it == m_value.end() ? nullptr : &*it;
}

void JsonObjectReader::read(std::string_view name, std::string &out)
{
    const Json *value = findField(name);
    if (value == nullptr)
        return;
    if (value->is_string())
        out = value->get<std::string>();
    else
        addFault(name, "must be a string");
}

void JsonObjectReader::read(std::string_view name, bool &out)
{
    const Json *value = findField(name);
    if (value == nullptr)
        return;
    if (value->is_boolean())
        out = value->get<bool>();
    else
        addFault(name, "must be true or false");
}

void JsonObjectReader::read(std::string_view name, double &out)
{
    const Json *value = findField(name);
    if (value == nullptr)
        return;
    if (value->is_number())
        out = value->get<double>();
    else
        addFault(name, "must be a number");
}

void JsonObjectReader::readUnsigned(std::string_view name, std::uint64_t limit, std::uint64_t &out)
{
    const Json *value = findField(name);
    if (value == nullptr)
        return;
    if (value->is_number_unsigned() && value->get<std::uint64_t>() <= limit)
        out = value->get<std::uint64_t>();
    else
        addFault(name, "must be a whole number from 0 to " + std::to_string(limit));
}

void JsonObjectReader::read(std::string_view name, std::uint64_t &out)
{
    // Many JSON parsers store numbers as double, which is not exact for larger integers.
    constexpr std::uint64_t kMaxSafeInteger = (1ULL << 53) - 1;
    readUnsigned(name, kMaxSafeInteger, out);
}

void JsonObjectReader::read(std::string_view name, std::uint32_t &out)
{
    std::uint64_t n = out;
    readUnsigned(name, std::numeric_limits<std::uint32_t>::max(), n);
    out = static_cast<std::uint32_t>(n);
}

void JsonObjectReader::read(std::string_view name, int &out)
{
    auto n = static_cast<std::uint64_t>(out);
    readUnsigned(name, std::numeric_limits<int>::max(), n);
    out = static_cast<int>(n);
}

void JsonObjectReader::readMillis(std::string_view name, Duration &out)
{
    constexpr std::uint64_t kMaxMillis = 7ULL * 24 * 3600 * 1000;
    auto n = static_cast<std::uint64_t>(toMillis(out));
    readUnsigned(name, kMaxMillis, n);
    out = milliseconds(static_cast<std::int64_t>(n));
}

void JsonObjectReader::read(std::string_view name, std::vector<std::string> &out)
{
    const Json *value = readArray(name);
    if (value == nullptr)
        return;
    for (std::size_t i = 0; i < value->size(); ++i) {
        const Json &it = (*value)[i];
        if (it.is_string())
            out.push_back(it.get<std::string>());
        else
            addConfigFault(m_faults, pathOf(name) + "[" + std::to_string(i) + "]",
                           "must be a string");
    }
}

const Json *JsonObjectReader::readArray(std::string_view name)
{
    const Json *value = findField(name);
    if (value == nullptr || value->is_array())
        return value;
    addFault(name, "must be an array");
    return nullptr;
}

void JsonObjectReader::reportUnknownFields()
{
    if (!m_value.is_object())
        return;
    for (const auto &[name, value] : m_value.items()) {
        if (std::find(m_knownNames.begin(), m_knownNames.end(), name) != m_knownNames.end())
            continue;
        const auto nearest = nearestName(name, m_knownNames);
        std::string message = "unknown field";
        if (!nearest.empty())
            message += "; did you mean \"" + std::string(nearest) + "\"?";
        addFault(truncated(name), std::move(message));
    }
}

} // namespace hawthornslip
