#pragma once

#include "drivers/toml/gateway_settings_reader.h"

#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

/** Notices changes of a settings file by its content. */
class SettingsWatch
{
public:
    explicit SettingsWatch(std::string path);

    /** @return the file's settings, or its faults; a file that cannot be read is a fault. */
    GatewaySettingsResult read();

    /**
     * Reads the file again. One that cannot be read counts as unchanged, as while it is replaced.
     *
     * @return the settings, or their faults, when the content is new since the last call.
     */
    std::optional<GatewaySettingsResult> poll();

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
    std::string m_text;
};

/** @return names of the changed keys that hold only from the next start on. */
std::vector<std::string> keysForNextStart(const GatewaySettings &before,
                                          const GatewaySettings &after);

} // namespace hawthornslip
