#pragma once

#include "core/interfaces/event_loop.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/object_store.h"
#include "modules/duties/duty_election.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hawthornslip {

/** Dependencies of the duties; all must outlive it. */
struct DutyServiceParts
{
    EventLoop &loop;
    ObjectStore &store;
    Metrics &metrics;
};

/** Keeps the lease of the duties in the object store, on the event loop. */
class DutyService : public DutyTerms
{
public:
    /**
     * @param isContender tells whether this node competes for the duties now.
     * @param incarnation random, new with each start of the process.
     */
    DutyService(DutyServiceParts parts, NodeId self, std::uint64_t incarnation, Duration lease,
                std::function<bool()> isContender);

    /** Starts to compete. */
    void start();
    /** Releases the lease and competes no more. */
    void stop();
    /** Handles an era of the store that another call has seen. */
    void enterEra(std::uint64_t era);

    std::optional<DutyTerm> current(TimePoint now) const override;
    void onSuperseded(std::uint64_t generation, TimePoint now) override;

private:
    void performAll(const LeaseActions &actions);
    void perform(const ReadLease &action);
    void perform(const WriteLease &action);
    void perform(const LeaseAcquired &action);
    void perform(const LeaseLost &action);
    void perform(const WakeLease &action);
    std::string leaseKey() const;
    void scheduleWake(TimePoint at);
    void tick();

    DutyServiceParts m_parts;
    DutyElection m_election;
    Duration m_interval;
    std::function<bool()> m_isContender;
    bool m_stopping = false;
    TimerId m_wakeTimer = 0;
    TimePoint m_wakeAt{};
    /** Expires with this object, so that later results are dropped. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hawthornslip
