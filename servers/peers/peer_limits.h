#pragma once

#include "modules/limits/named_limits.h"

#include <vector>

namespace hawthornslip {

/** Limits of requests that upstreams name, which the load reports carry between nodes. */
class PeerLimits
{
public:
    virtual ~PeerLimits() = default;

    /** @return the notices for a report of this node. */
    virtual std::vector<LimitNotice> limitsForReport() = 0;
    /** @return the notices for a summary of this node's failure domain. */
    virtual std::vector<LimitNotice> limitsForSummary() = 0;
    /** Handles notices from another node. */
    virtual void onPeerLimits(const std::vector<LimitNotice> &notices, NewsOrigin origin) = 0;
};

} // namespace hawthornslip
