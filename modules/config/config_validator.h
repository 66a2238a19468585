#pragma once

#include "core/profile.h"
#include "modules/config/config_fault.h"

namespace hawthornslip {

/** Validates the content of a configuration: ranges, duplicate names and references. */
class ConfigValidator
{
public:
    /** Adds all faults of @p config to @p faults, except at paths that already have one. */
    static void check(const SharedConfig &config, ConfigFaults &faults);
};

} // namespace hawthornslip
