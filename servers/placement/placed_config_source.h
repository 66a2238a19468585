#pragma once

#include "servers/config/config_source.h"
#include "servers/placement/placement_source.h"

#include <memory>

namespace hawthornslip {

/**
 * Provides the configuration in force with each upstream's models replaced by those that placement
 * assigned. Control thread only.
 */
class PlacedConfigSource : public ConfigSource
{
public:
    /** Both references must outlive this object. */
    PlacedConfigSource(const ConfigSource &config, PlacementSource &placement);

    std::shared_ptr<const SharedConfig> current() const override;

private:
    const ConfigSource &m_config;
    const PlacementSource &m_placement;
    // Cached until the configuration or the placement changes.
    mutable std::shared_ptr<const SharedConfig> m_base;
    mutable std::shared_ptr<const SharedConfig> m_placed;
};

} // namespace hawthornslip
