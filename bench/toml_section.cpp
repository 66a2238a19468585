#include "bench/toml_section.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace hawthornslip::bench {

TomlSection::TomlSection(std::string where, std::map<std::string, TomlValue> values)
    : m_where(std::move(where))
    , m_values(std::move(values))
{}

template <typename Value>
const Value *TomlSection::find(const std::string &key) const
{
    const auto it = m_values.find(key);
    if (it == m_values.end())
        return nullptr;
    const auto *value = std::get_if<Value>(&it->second.value);
    if (value == nullptr)
        throw std::runtime_error(fmt::format("{}: {} has the wrong type", m_where, key));
    return value;
}

std::string TomlSection::text(const std::string &key) const
{
    const auto *value = find<std::string>(key);
    if (value == nullptr)
        throw std::runtime_error(fmt::format("{}: {} is missing", m_where, key));
    return *value;
}

std::string TomlSection::text(const std::string &key, const std::string &otherwise) const
{
    const auto *value = find<std::string>(key);
    return value == nullptr ? otherwise : *value;
}

std::vector<std::string> TomlSection::texts(const std::string &key) const
{
    const auto *value = find<std::vector<std::string>>(key);
    return value == nullptr ? std::vector<std::string>() : *value;
}

double TomlSection::number(const std::string &key, double otherwise) const
{
    const auto it = m_values.find(key);
    if (it == m_values.end())
        return otherwise;
    if (const auto *whole = std::get_if<std::int64_t>(&it->second.value))
        return static_cast<double>(*whole);
    return *find<double>(key);
}

Duration TomlSection::millis(const std::string &key, Duration otherwise) const
{
    constexpr double kMicrosPerMilli = 1000;
    const double standard = static_cast<double>(otherwise.count()) / kMicrosPerMilli;
    return Duration(static_cast<Duration::rep>(number(key, standard) * kMicrosPerMilli));
}

Duration TomlSection::micros(const std::string &key, Duration otherwise) const
{
    return Duration(
            static_cast<Duration::rep>(number(key, static_cast<double>(otherwise.count()))));
}

TomlFile::TomlFile(const std::string &path)
    : m_path(path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error(path + ": cannot be read");
    std::ostringstream text;
    text << file.rdbuf();
    try {
        m_document = parseToml(text.str());
    } catch (const TomlError &fault) {
        throw std::runtime_error(fmt::format("{}:{}: {}", path, fault.line(), fault.what()));
    }
}

TomlSection TomlFile::section(const std::string &name) const
{
    const auto it = m_document.sections.find(name);
    const std::string where = m_path + " [" + name + "]";
    return it == m_document.sections.end() ? TomlSection(where, {})
                                           : TomlSection(where, it->second);
}

std::vector<TomlSection> TomlFile::sectionsLike(const std::string &prefix) const
{
    std::vector<TomlSection> result;
    for (const auto &[name, values] : m_document.sections) {
        if (name.compare(0, prefix.size(), prefix) == 0)
            result.push_back(section(name));
    }
    return result;
}

} // namespace hawthornslip::bench
