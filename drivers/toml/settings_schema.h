#pragma once

#include "core/settings.h"
#include "drivers/toml/toml_document.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip {

/** One known key of a settings file. */
struct SettingsKey
{
    std::string_view section;
    std::string_view name;
    bool required = false;
    /** Stores the value; returns what is wrong with it, or an empty text. */
    std::function<std::string(const TomlValue &, Settings &)> store;
};

/** @return all keys of a settings file. */
const std::vector<SettingsKey> &settingsSchema();

/** Parses `ip:port`. @return false when @p text is not an IPv4 number and a port. */
bool parseAddress(std::string_view text, ListenAddress &address);

} // namespace hawthornslip
