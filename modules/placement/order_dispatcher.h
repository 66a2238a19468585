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

/** Times of an OrderDispatcher. */
struct OrderOptions
{
    /** Longest time that an order of an earlier holder may be on its way: its HTTP timeout. */
    Duration orderTimeout = seconds(2);
    /** Schedulers stop using a model this long before it is unloaded. */
    Duration drainBeforeUnload = seconds(5);
    Duration initialBackoff = seconds(1);
    Duration maxBackoff = seconds(30);
    std::size_t maxLoads = 2;
};

/**
 * Brings the upstreams of one failure domain to what they shall serve, one order at a time for each
 * upstream. Orders state the desired result, so that a repeated one changes nothing.
 *
 * An order is only given with a lease that is in force at that moment. Upstreams that ignore
 * fencing numbers get their first order from a new holder only when no order of the earlier one can
 * still be on its way.
 */
class OrderDispatcher
{
public:
    explicit OrderDispatcher(OrderOptions options = {});

    /** Sets what the upstreams shall serve, and what they served as far as is known. */
    void setState(const PlacementState &state, TimePoint now);

    /** Sets which upstreams refuse old fencing numbers. */
    void setFencingUpstreams(std::set<UpstreamId> upstreams);

    /**
     * @param lease the lease as LeaseManager::held() gives it at @p now.
     * @return the orders to send at once; each is to be answered by recordResult().
     */
    std::vector<UpstreamOrder> startOrders(const std::optional<HeldLease> &lease, TimePoint now);

    /**
     * Takes the result of an order.
     *
     * @return true when what the upstream serves changed.
     */
    bool recordResult(std::uint64_t orderId, OrderResult result, TimePoint now);

    /** @return what the upstreams confirmed. */
    const std::map<UpstreamId, UpstreamTarget> &applied() const { return m_applied; }

    /** @return true once an upstream has seen a higher fencing number than the one in use. */
    bool fencedOut() const { return m_fencedOut; }

    /** Forgets everything, after the lease was lost. */
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
