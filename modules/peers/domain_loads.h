#pragma once

#include "modules/peers/peer_loads.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

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
    void onPeerUses(const std::string &sender, std::uint64_t service,
                    const std::vector<WorkspaceUse> &uses) override;

    /** Replaces the loads, demands and uses of this node in @p report by the sums with its peers.
     */
    void addTo(PeerReport &report) const;

private:
    void addUsesTo(PeerReport &report) const;

    struct Sum
    {
        std::int64_t running = 0;
        std::int64_t sensitive = 0;
        TokensByUrgency<std::uint64_t> promptTokens{};
        EngineSpeedSums speed;
    };

    std::unordered_map<std::uint64_t, Sum> m_loads;
    std::unordered_map<std::uint64_t, NodeDemand> m_demands;
    /** Uses by service and reporting node. */
    std::map<std::uint64_t, std::map<std::string, std::vector<WorkspaceUse>>> m_uses;
};

} // namespace hawthornslip
