#pragma once

#include "modules/balancing/service_balancer.h"
#include "modules/queueing/hold_queue.h"
#include "modules/retry/window_budget.h"
#include "modules/upstreams/upstream_directory.h"

#include <string>

namespace hawthornslip {

/** What a node keeps for one service: where its requests go and how many may be repeated. */
struct ServiceLane
{
    explicit ServiceLane(std::string serviceName, WindowBudget budget)
        : name(std::move(serviceName))
        , repeats(budget)
    {}

    std::string name;
    ServiceBalancer balancer;
    WindowBudget repeats;
    HoldQueue held;
    /** A look at the held requests is due. */
    bool pumpScheduled = false;
    /** Revision of the directory that the balancer shows. */
    std::uint64_t directoryRevision = 0;
};

} // namespace hawthornslip
