#pragma once

#include "core/interfaces/event_loop.h"
#include "modules/balancing/prefill_interference.h"
#include "modules/balancing/service_balancer.h"
#include "modules/queueing/hold_queue.h"
#include "modules/queueing/service_shares.h"
#include "modules/retry/sliding_window_retry_budget.h"
#include "modules/upstreams/upstream_directory.h"

#include <algorithm>
#include <array>
#include <string>

namespace hawthornslip {

/**
 * State of one service at this node: load balancer, interference, retry budget, fair shares, hold
 * queue.
 */
struct ServiceContext
{
    ServiceContext(std::string serviceName, SlidingWindowRetryBudget budget, EventLoop &loop,
                   std::uint64_t seed)
        : name(std::move(serviceName))
        , balancer(seed)
        , retryBudget(budget)
        , holdQueue([this, &loop](std::uint32_t workspace) {
            return shares.workspaces().isAboveShare(workspace, loop.now());
        })
    {}

    std::string name;
    ServiceBalancer balancer;
    PrefillInterference interference;
    SlidingWindowRetryBudget retryBudget;
    ServiceShares shares;
    HoldQueue holdQueue;
    /** Time at which a request of each urgency level was last sent. */
    std::array<TimePoint, kUrgencyLevels> lastSentAt{};

    /** @return true when requests less urgent than @p level were sent recently. */
    bool hasSentLessUrgent(std::size_t level, TimePoint now) const
    {
        // A node sends a few requests of each level per second.
        static constexpr Duration kRecentWindow = seconds(2);
        return std::any_of(lastSentAt.begin() + static_cast<std::ptrdiff_t>(level) + 1,
                           lastSentAt.end(),
                           [now](TimePoint at) { return now - at < kRecentWindow; });
    }

    /** True while a run over the hold queue is scheduled. */
    bool holdQueueRunScheduled = false;
    /** Revision of the upstream directory that the balancer was last updated from. */
    std::uint64_t directoryRevision = 0;
};

} // namespace hawthornslip
