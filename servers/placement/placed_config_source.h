#pragma once

#include "servers/config/config_source.h"
#include "servers/placement/placement_source.h"

#include <memory>

namespace hawthornslip {

/**
 * The configuration in force with the models of each upstream as placement has them. Belongs to
 * the control thread.
 */
class PlacedConfigSource : public ConfigSource
{
public:
    /** Both references have to outlive this object. */
    PlacedConfigSource(const ConfigSource &config, PlacementSource &placement);

    std::shared_ptr<const SharedConfig> current() const override;

private:
    const ConfigSource &m_config;
    const PlacementSource &m_placement;
    // The snapshot is built again only when the configuration or the placement has changed.
    mutable std::shared_ptr<const SharedConfig> m_base;
    mutable std::shared_ptr<const SharedConfig> m_placed;
};

} // namespace hawthornslip
