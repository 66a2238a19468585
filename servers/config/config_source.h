#pragma once

#include "core/profile.h"

#include <memory>

namespace hawthornslip {

/** Gives the configuration in force; read on each request. */
class ConfigSource
{
public:
    virtual ~ConfigSource() = default;

    /** @return the snapshot in force, never null; it does not change while it is held. */
    virtual std::shared_ptr<const SharedConfig> current() const = 0;
};

} // namespace hawthornslip
