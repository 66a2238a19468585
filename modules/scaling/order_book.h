#pragma once

#include "core/interfaces/provider_api.h"
#include "core/time.h"
#include "modules/scaling/scaling_types.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hawthornslip {

/** An order that should be sent now. */
struct DueOrder
{
    OrderSubject subject;
    std::uint32_t desired = 0;
};

/**
 * Decides which orders of one service are sent when: one for each change, one in flight for each
 * subject, again when its fate is unknown or when it has no effect, and later when the provider has
 * none to offer.
 */
class OrderBook
{
public:
    /** @param startTime time until an ordered upstream takes requests. */
    explicit OrderBook(Duration startTime);

    /** @return the orders that are due, rises first. They must be sent or put off. */
    std::vector<DueOrder> due(const UpstreamCounts &desired, const UpstreamCounts &ready,
                              TimePoint now);

    /** Records that an order is on its way. */
    void onSent(const DueOrder &order);

    /** Records how an order ended. */
    void onResult(const DueOrder &order, ProviderResult result, TimePoint now);

    /**
     * Compares the upstreams with the orders.
     *
     * @return failure domains whose reclaimable upstreams were all taken away since the last call.
     */
    std::vector<FailureDomain> findReclaimed(const UpstreamCounts &ready, TimePoint now);

    /** @return failure domains that had no reclaimable upstreams to offer recently. */
    std::set<FailureDomain> withoutReclaimable(TimePoint now) const;

private:
    struct Entry
    {
        /** The last value that the provider has accepted from this node. */
        std::optional<std::uint32_t> accepted;
        /** The last number of upstreams that took requests. */
        std::uint32_t ready = 0;
        bool inFlight = false;
        /** A call ended without an answer and may be carried out at any time. */
        bool isUncertain = false;
        /** When the value is sent again because such a call may have replaced it. */
        std::optional<TimePoint> confirmAt;
        TimePoint nextAt{};
        /** Interval before the next order after a call that was not accepted; zero without one. */
        Duration retryDelay{0};
        /** Interval before the next order after the last refusal; zero without one. */
        Duration refusalDelay{0};
        TimePoint refusedUntil{};
        /** Since when the upstreams differ from what was ordered. */
        std::optional<TimePoint> differsSince;
        Duration repeatDelay{0};
    };

    bool isDue(Entry &entry, std::uint32_t desired, std::uint32_t ready, TimePoint now) const;
    void refuse(Entry &entry, TimePoint now) const;

    Duration m_startTime;
    std::map<OrderSubject, Entry> m_entries;
};

} // namespace hawthornslip
