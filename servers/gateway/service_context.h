#pragma once

#include "core/interfaces/event_loop.h"
#include "modules/balancing/prefill_interference.h"
#include "modules/balancing/service_balancer.h"
#include "modules/queueing/hold_queue.h"
#include "modules/queueing/service_shares.h"
#include "modules/retry/sliding_window_retry_budget.h"
#include "modules/upstreams/upstream_directory.h"

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
    /** True while a run over the hold queue is scheduled. */
    bool holdQueueRunScheduled = false;
    /** Revision of the upstream directory that the balancer was last updated from. */
    std::uint64_t directoryRevision = 0;
};

} // namespace hawthornslip
