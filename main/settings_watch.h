#pragma once

#include "drivers/toml/gateway_settings_reader.h"

#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

/** Detects changes of a settings file by its content. */
class SettingsWatch
{
public:
    explicit SettingsWatch(std::string path);

    /** @return the settings of the file, or its faults; an unreadable file is a fault. */
    GatewaySettingsResult read();

    /**
     * Reads the file again. An unreadable file counts as unchanged: it may be being replaced.
     *
     * @return the settings, or their faults, when the content changed since the last read.
     */
    std::optional<GatewaySettingsResult> poll();

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
    std::string m_text;
};

/** @return names of the changed keys that take effect only after a restart. */
std::vector<std::string> keysRequiringRestart(const GatewaySettings &before,
                                              const GatewaySettings &after);

} // namespace hawthornslip
