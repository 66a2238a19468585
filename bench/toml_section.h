#pragma once

#include "core/time.h"
#include "drivers/toml/toml_document.h"

#include <string>
#include <vector>

namespace hawthornslip::bench {

/** One section of a scenario file; reading a value of the wrong type throws. */
class TomlSection
{
public:
    TomlSection(std::string where, std::map<std::string, TomlValue> values);

    /** @throws std::runtime_error when the key is missing. */
    std::string text(const std::string &key) const;
    std::string text(const std::string &key, const std::string &otherwise) const;
    std::vector<std::string> texts(const std::string &key) const;
    double number(const std::string &key, double otherwise) const;
    /** Reads a number of milliseconds. */
    Duration millis(const std::string &key, Duration otherwise) const;
    /** Reads a number of microseconds. */
    Duration micros(const std::string &key, Duration otherwise) const;

private:
    template <typename Value>
    const Value *find(const std::string &key) const;

    std::string m_where;
    std::map<std::string, TomlValue> m_values;
};

/** A scenario or deployment file. */
class TomlFile
{
public:
    /** @throws std::runtime_error when the file cannot be read or parsed. */
    explicit TomlFile(const std::string &path);

    /** @return the section, empty when the file has none of this name. */
    TomlSection section(const std::string &name) const;

    /** @return all sections whose name begins with @p prefix, by name. */
    std::vector<TomlSection> sectionsLike(const std::string &prefix) const;

private:
    std::string m_path;
    TomlDocument m_document;
};

} // namespace hawthornslip::bench
