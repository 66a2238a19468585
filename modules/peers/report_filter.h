#pragma once

#include "modules/balancing/service_balancer.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/**
 * Selects the loads for a report: changed ones, which are sent twice in case a report is lost, and
 * a few others in round-robin order. The speed of an upstream alone causes no report; it goes with
 * the next load that does, unless it is unchanged. This keeps reports small when there are many
 * upstreams.
 */
class ReportFilter
{
public:
    /** @return the loads out of @p all that go into the next report. */
    std::vector<NodeLoad> select(const std::vector<NodeLoad> &all);

private:
    struct Sent
    {
        NodeLoad load;
        int sendsLeft = 0;
        int speedSendsLeft = 0;
    };

    std::unordered_map<std::uint64_t, Sent> m_sent;
    std::size_t m_refreshStart = 0;
};

} // namespace hawthornslip
