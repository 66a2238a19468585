#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornslip {

/** A value of a settings file that is not a table. */
struct TomlValue
{
    std::variant<std::monostate, std::string, std::int64_t, double, bool, std::vector<std::string>>
            value;
    std::uint32_t line = 0;
};

/** A settings file: values by section and key; keys before the first section are in section "". */
struct TomlDocument
{
    std::map<std::string, std::map<std::string, TomlValue>> sections;
    std::map<std::string, std::uint32_t> sectionLines;
};

/** A fault of syntax, or a construct that settings do not use. */
class TomlError : public std::runtime_error
{
public:
    TomlError(std::uint32_t line, const std::string &message)
        : std::runtime_error(message)
        , m_line(line)
    {}

    /** @return the line counted from 1, or 0 when it is not known. */
    std::uint32_t line() const { return m_line; }

private:
    std::uint32_t m_line;
};

/**
 * Parses the text of a TOML file.
 *
 * @throws TomlError on any fault; no input is undefined behaviour.
 */
TomlDocument parseToml(std::string_view text);

} // namespace hawthornslip
