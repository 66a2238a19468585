#pragma once

#include "core/gateway_settings.h"
#include "drivers/toml/settings_reader.h"

#include <string_view>
#include <vector>

namespace hawthornslip {

/** The settings of a gateway and all faults of their file; they count only when there are none. */
struct GatewaySettingsResult
{
    GatewaySettings settings;
    std::vector<SettingsFault> faults;
};

/** Reads a gateway's settings from the text of a TOML file and reports all its faults at once. */
GatewaySettingsResult parseGatewaySettings(std::string_view text);

} // namespace hawthornslip
