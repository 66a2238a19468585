#include "servers/placement/placed_config_source.h"

namespace hawthornslip {

PlacedConfigSource::PlacedConfigSource(const ConfigSource &config, PlacementSource &placement)
    : m_config(config)
    , m_placement(placement)
{
    placement.subscribe([this] { m_base.reset(); });
}

std::shared_ptr<const SharedConfig> PlacedConfigSource::current() const
{
    auto base = m_config.current();
    if (base != m_base) {
        m_placed = std::make_shared<const SharedConfig>(withPlacement(*base, m_placement));
        m_base = std::move(base);
    }
    return m_placed;
}

} // namespace hawthornslip
