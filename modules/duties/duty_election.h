#pragma once

#include "modules/duties/duty_terms.h"
#include "modules/lease/lease_manager.h"

#include <cstdint>
#include <optional>

namespace hawthornslip {

/**
 * Elects the node that performs the duties of a deployment, with one lease in the object store.
 *
 * Handles holders that are killed, frozen or cut off, nodes that start under an earlier holder's
 * name, and a store that restarts from an older copy: each era of the store has a lease object of
 * its own, and its number is the upper part of the generation, so that none is used twice. A node
 * that has held the lease, and one that has just started, waits for one lease before it competes,
 * so that two nodes do not hold it in turns within that time.
 */
class DutyElection : public DutyTerms
{
public:
    /**
     * @param self this node; another process of it has another @p incarnation.
     * @param lease time for which the lease is held without a renewal.
     */
    DutyElection(NodeId self, std::uint64_t incarnation, Duration lease, TimePoint now);

    /** Sets whether this node competes; false releases the lease. */
    LeaseActions setWanted(bool wanted, TimePoint now);

    /** Handles the result of ReadLease; an era that it names is entered. */
    LeaseActions onRead(std::uint64_t operation, const StoreResult &result, TimePoint now);

    /** Handles the result of WriteLease. */
    LeaseActions onWritten(std::uint64_t operation, const StoreResult &result, TimePoint now);

    /** Handles timeouts and delayed steps that are due. */
    LeaseActions wake(TimePoint now);

    /** Enters an era of the store that another call has seen; an earlier one is ignored. */
    LeaseActions enterEra(std::uint64_t era, TimePoint now);

    std::optional<DutyTerm> current(TimePoint now) const override;
    void onSuperseded(std::uint64_t generation, TimePoint now) override;

    /** @return the era whose lease object is used; 0 when the store names none. */
    std::uint64_t era() const { return m_era; }

private:
    LeaseActions apply(LeaseActions actions, TimePoint now);
    void backOff(TimePoint now);
    LeaseActions updateWanted(TimePoint now);

    NodeId m_self;
    std::uint64_t m_incarnation;
    Duration m_lease;
    LeaseManager m_manager;
    std::uint64_t m_era = 0;
    bool m_wanted = false;
    TimePoint m_competesFrom;
    /** Terms up to this generation have ended. */
    std::uint64_t m_endedGeneration = 0;
};

} // namespace hawthornslip
