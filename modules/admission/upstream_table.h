#pragma once

#include "modules/admission/scheduler_events.h"
#include "modules/admission/scheduler_options.h"
#include "modules/limits/concurrency_limiter.h"
#include "modules/selection/outlier_detector.h"
#include "modules/selection/upstream_selector.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/**
 * State of each upstream of a group: its limit, its health and its load. The requests in flight
 * from here are counted exactly; the delayed reports only tell how many others add to them.
 */
class UpstreamTable
{
public:
    explicit UpstreamTable(const SchedulerOptions &options);

    /** Sets the upstreams; a removed one keeps its index until its last request has ended. */
    void setUpstreams(const std::vector<UpstreamInfo> &upstreams, TimePoint now);

    /** @return the index of @p id, or nothing. */
    std::optional<std::size_t> find(const UpstreamId &id) const;

    /** @return the index of @p id, which is added without capacity when it is not known. */
    std::size_t findOrAdd(const UpstreamId &id, TimePoint now);

    /** @return the identifier of upstream @p i. */
    const UpstreamId &idOf(std::size_t i) const { return m_entries[i].id; }

    /** @return the upstream for a request with affinity @p key, see UpstreamSelector::pick(). */
    std::optional<std::size_t> pick(std::uint64_t key, const std::vector<std::size_t> &excluded);

    /** Adds the upstreams that are ejected or returning from an ejection to @p indices. */
    void addReturning(std::vector<std::size_t> &indices, TimePoint now) const;

    /** Counts a started request at upstream @p i. */
    void start(std::size_t i, TimePoint now);
    /** Counts an ended request at upstream @p i. */
    void end(std::size_t i, TimePoint now);

    /** Records the time between tokens of a running or finished answer. */
    void observeTokenTime(std::size_t i, Duration tokenTime, Duration target);
    /** Records a time to first token, measured from sending. */
    void observeFirstToken(std::size_t i, Duration firstToken, Duration target);
    /** Records an attempt whose answer is complete. */
    void observeSuccess(std::size_t i);
    /** Records an attempt that failed at the upstream; @p overload marks a sign of overload. */
    void observeFailure(std::size_t i, bool overload);

    /** Records an upstream's own report of its load. */
    void observeReport(const LoadReportEvent &event, TimePoint now);

    /** Restricts use to @p share of each limit. */
    void setShare(double share, TimePoint now);

    /** Updates limits and health. @return the number of upstreams that this call ejected. */
    std::size_t tick(TimePoint now);

    /** @return true when some upstream accepts work, even if it has no free slot. */
    bool anyAccepts() const { return m_acceptingCount > 0; }
    /** @return the number of requests that can be started now. */
    std::uint32_t freeSlots() const { return usesMinimumSlot() ? 1 : m_selector.freeSlots(); }
    /** @return the number of requests that can run at a time. */
    std::uint32_t totalSlots() const { return m_selector.totalSlots(); }
    /** @return requests in flight at upstream @p i as counted here. */
    std::uint32_t inFlight(std::size_t i) const { return m_entries[i].inFlight; }
    /** @return the limit in use of upstream @p i. */
    double limit(std::size_t i) const { return m_entries[i].limiter.limit(); }

private:
    static constexpr std::size_t kHistorySize = 64;

    struct Entry
    {
        UpstreamId id;
        bool accepts = false;
        std::uint32_t maximum = 1;
        std::uint32_t inFlight = 0;
        ConcurrencyLimiter limiter{1};
        /** Requests of other nodes, from the last report. */
        std::uint32_t externalRequests = 0;
        TimePoint reported{};
        std::array<std::uint32_t, kHistorySize> history{};
    };

    bool usesMinimumSlot() const;
    std::uint32_t currentExternalRequests(const Entry &entry, TimePoint now) const;
    std::uint32_t inFlightAt(const Entry &entry, TimePoint then) const;
    void updateCapacity(std::size_t i, TimePoint now);
    void rebuildSelector(TimePoint now);
    std::size_t assignEntry(const UpstreamId &id);

    bool m_adaptive;
    bool m_ejection;
    UpstreamSelector m_selector;
    OutlierDetector m_health;
    std::vector<Entry> m_entries;
    std::unordered_map<UpstreamId, std::size_t> m_indices;
    std::size_t m_acceptingCount = 0;
    std::size_t m_returningCount = 0;
    std::size_t m_totalInFlight = 0;
    double m_capacityShare = 1;
    std::array<TimePoint, kHistorySize> m_historyTimes{};
    std::size_t m_historyNext = 0;
    std::size_t m_minimumSlotUpstream;
};

} // namespace hawthornslip
