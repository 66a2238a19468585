#pragma once

#include "core/settings.h"
#include "drivers/toml/settings_keys.h"

#include <vector>

namespace hawthornslip {

/** @return all keys of a settings file. */
const std::vector<SettingsKey<Settings>> &settingsSchema();

} // namespace hawthornslip
