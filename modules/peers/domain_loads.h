#pragma once

#include "modules/peers/peer_loads.h"

#include <unordered_map>

namespace hawthornslip {

/**
 * Sums the loads of the nodes of a failure domain for its summary. Token counters of the sum only
 * rise, also when a node restarts or leaves.
 */
class DomainLoads : public PeerLoadSink
{
public:
    void onPeerLoad(const LoadChange &change) override;
    void onPeerDemand(std::uint64_t service, const NodeDemand &added) override;

    /** Replaces the loads and demands of this node in @p report by the sums with its peers. */
    void addTo(PeerReport &report) const;

private:
    struct Sum
    {
        std::int64_t running = 0;
        std::int64_t sensitive = 0;
        TokensByUrgency<std::uint64_t> promptTokens{};
        EngineSpeedSums speed;
    };

    std::unordered_map<std::uint64_t, Sum> m_loads;
    std::unordered_map<std::uint64_t, NodeDemand> m_demands;
};

} // namespace hawthornslip
