#pragma once

#include "core/profile.h"

#include <memory>

namespace hawthornslip {

/** Provides the configuration in force; read on each request. */
class ConfigSource
{
public:
    virtual ~ConfigSource() = default;

    /** @return an immutable snapshot of the configuration in force, never null. */
    virtual std::shared_ptr<const SharedConfig> current() const = 0;
};

} // namespace hawthornslip
