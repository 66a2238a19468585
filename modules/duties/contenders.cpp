#include "modules/duties/contenders.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

bool isDutyContender(const NodeId &self, std::vector<NodeId> peers)
{
    peers.push_back(self);
    const auto first = rendezvousOrder("duties", peers, kDutyContenders);
    return std::find(first.begin(), first.end(), self) != first.end();
}

} // namespace hawthornslip
