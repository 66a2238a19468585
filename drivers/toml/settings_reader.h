#pragma once

#include "core/settings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip {

/** One fault of a settings file. */
struct SettingsFault
{
    /** The dotted key, empty for a fault of syntax. */
    std::string key;
    /** Line of the file, counted from 1; 0 when the fault is that something is missing. */
    std::uint32_t line = 0;
    std::string message;
};

/** The settings of a file and all its faults; the settings count only when there are none. */
struct SettingsResult
{
    Settings settings;
    std::vector<SettingsFault> faults;
};

/** Reads settings from the text of a TOML file and reports all its faults at once. */
SettingsResult parseSettings(std::string_view text);

/** Reads the settings file @p path; a file that cannot be read is a fault. */
SettingsResult readSettings(const std::string &path);

/** @return @p fault as `path:line: key: message`. */
std::string formatFault(const std::string &path, const SettingsFault &fault);

} // namespace hawthornslip
