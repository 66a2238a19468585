#pragma once

#include "modules/balancing/service_balancer.h"
#include "modules/queueing/hold_queue.h"
#include "modules/retry/sliding_window_retry_budget.h"
#include "modules/upstreams/upstream_directory.h"

#include <algorithm>
#include <array>
#include <string>

namespace hawthornslip {

/** What a node keeps for one service: where its requests go and how many may be repeated. */
struct ServiceContext
{
    ServiceContext(std::string serviceName, SlidingWindowRetryBudget budget, std::uint64_t seed)
        : name(std::move(serviceName))
        , balancer(seed)
        , retryBudget(budget)
    {}

    std::string name;
    ServiceBalancer balancer;
    SlidingWindowRetryBudget retryBudget;
    HoldQueue holdQueue;
    /** When a request of each level of urgency was last sent. */
    std::array<TimePoint, kUrgencyLevels> sentAt{};

    /** @return true when requests less urgent than @p level were sent lately. */
    bool hasSentLessUrgent(std::size_t level, TimePoint now) const
    {
        // A node sends a few requests of each kind a second.
        static constexpr Duration kRecentWindow = seconds(2);
        return std::any_of(sentAt.begin() + static_cast<std::ptrdiff_t>(level) + 1, sentAt.end(),
                           [now](TimePoint at) { return now - at < kRecentWindow; });
    }

    /** A look at the held requests is due. */
    bool holdQueueRunScheduled = false;
    /** Revision of the directory that the balancer shows. */
    std::uint64_t directoryRevision = 0;
};

} // namespace hawthornslip
