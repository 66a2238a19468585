#pragma once

#include "modules/balancing/service_balancer.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/**
 * Chooses the loads that go into a report: those that changed, each once more in case that the
 * first report is lost, and a few others in turn. Reports so stay small when there are many
 * upstreams.
 */
class ReportFilter
{
public:
    /** @return the loads of @p all for the next report. */
    std::vector<NodeLoad> select(const std::vector<NodeLoad> &all);

private:
    struct Sent
    {
        NodeLoad load;
        int repeats = 0;
    };

    std::unordered_map<std::uint64_t, Sent> m_sent;
    std::size_t m_turn = 0;
};

} // namespace hawthornslip
