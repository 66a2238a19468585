#pragma once

#include "core/time.h"
#include "modules/lease/lease_manager.h"
#include "modules/placement/placement_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hawthornslip {

/** Timeouts and limits of an OrderDispatcher. */
struct OrderOptions
{
    /** HTTP timeout of an order, after which an order of an earlier lease holder cannot arrive. */
    Duration orderTimeout = seconds(2);
    /** Delay of an unload, so that schedulers stop using the model first. */
    Duration drainBeforeUnload = seconds(5);
    Duration initialBackoff = seconds(1);
    Duration maxBackoff = seconds(30);
    std::size_t maxLoads = 2;
};

/**
 * Reconciles the upstreams of one failure domain with their desired state, with one order in flight
 * per upstream. Orders state the desired result, so they are idempotent.
 *
 * Orders are sent only under a valid lease. Upstreams that don't check fencing tokens get their
 * first order from a new lease holder only when no order of the earlier one can still arrive.
 */
class OrderDispatcher
{
public:
    explicit OrderDispatcher(OrderOptions options = {});

    /** Sets the desired state of the upstreams and, at first, their last known applied state. */
    void setState(const PlacementState &state, TimePoint now);

    /** Sets which upstreams refuse orders with an old fencing token. */
    void setFencingUpstreams(std::set<UpstreamId> upstreams);

    /**
     * @param lease the lease as LeaseManager::held() gives it at @p now.
     * @return the orders to send now; recordResult() must be called for each.
     */
    std::vector<UpstreamOrder> startOrders(const std::optional<HeldLease> &lease, TimePoint now);

    /**
     * Records the result of an order.
     *
     * @return true when the applied state of the upstream changed.
     */
    bool recordResult(std::uint64_t orderId, OrderResult result, TimePoint now);

    /** @return the state that the upstreams confirmed. */
    const std::map<UpstreamId, UpstreamTarget> &applied() const { return m_applied; }

    /** @return true once an upstream refused an order for its old fencing token. */
    bool fencedOut() const { return m_fencedOut; }

    /** Clears all state; called after the lease was acquired or lost. */
    void reset();

private:
    struct Progress
    {
        std::optional<UpstreamOrder> order;
        TimePoint retryAt;
        Duration backoff{0};
        /** Since when each model is no longer desired. */
        std::map<ModelName, TimePoint> unwantedSince;
    };

    std::optional<UpstreamOrder> nextOrder(const UpstreamId &id, Progress &progress,
                                           TimePoint now) const;
    std::size_t loadsRunning() const;
    void apply(const UpstreamOrder &order);

    OrderOptions m_options;
    PlacementState m_state;
    std::map<UpstreamId, UpstreamTarget> m_applied;
    std::map<UpstreamId, Progress> m_progress;
    std::set<UpstreamId> m_fencingUpstreams;
    std::uint64_t m_lastOrderId = 0;
    bool m_fencedOut = false;
};

} // namespace hawthornslip
