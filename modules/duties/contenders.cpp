#include "modules/duties/contenders.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

std::vector<NodeId> dutyContenders(const NodeId &self, std::vector<NodeId> peers)
{
    peers.push_back(self);
    return rendezvousOrder("duties", peers, kDutyContenders);
}

bool isDutyContender(const NodeId &self, std::vector<NodeId> peers)
{
    const auto first = dutyContenders(self, std::move(peers));
    return std::find(first.begin(), first.end(), self) != first.end();
}

} // namespace hawthornslip
