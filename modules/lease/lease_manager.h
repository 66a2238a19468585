#pragma once

#include "core/interfaces/object_store.h"
#include "core/time.h"
#include "modules/lease/lease_record.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace hawthornslip {

/** Durations and intervals of a lease. */
struct LeaseOptions
{
    Duration duration = seconds(10);
    Duration renewInterval = seconds(3);
    /** The holder stops this long before the lease expires, to allow for clock drift. */
    Duration clockDriftMargin = seconds(1);
    /** Interval at which a node that waits for the lease reads it. */
    Duration readInterval = seconds(3);
    /** Delay after a failed store call of the holder, or a failed write of any node. */
    Duration retryInterval = milliseconds(500);
    /** Time limit for one store call; longer than the driver's own timeout. */
    Duration operationTimeout = seconds(5);
};

/** A lease that this node holds. */
struct HeldLease
{
    /** Fencing token. */
    std::uint64_t fencing = 0;
    /** When this node became the holder, after the previous lease had ended. */
    TimePoint acquiredAt;
    /** No order may be sent from this time on. */
    TimePoint usableUntil;
};

/** Read the lease's object from the store. */
struct ReadLease
{
    std::uint64_t operation = 0;
};

/** Write the lease's object if its version is still @c expectedVersion (compare-and-swap). */
struct WriteLease
{
    std::uint64_t operation = 0;
    std::uint64_t expectedVersion = 0;
    LeaseRecord record;
};

/** This node acquired the lease. */
struct LeaseAcquired
{
    std::uint64_t fencing = 0;
};

/** This node no longer holds the lease. */
struct LeaseLost
{
    std::uint64_t fencing = 0;
};

/** Schedule a call of LeaseManager::wake() at this time. */
struct WakeLease
{
    TimePoint at;
};

using LeaseAction = std::variant<ReadLease, WriteLease, LeaseAcquired, LeaseLost, WakeLease>;
using LeaseActions = std::vector<LeaseAction>;

/**
 * Acquires, renews and releases one lease in the object store.
 *
 * A holder measures the lease duration from before it sent the write. Unless the lease was
 * released, another node acquires it only after it has seen no change for a full duration on its
 * own clock. The previous lease has expired by then, however long its holder was paused. held()
 * compares the clock on every call and has to be checked before each order.
 */
class LeaseManager
{
public:
    LeaseManager(NodeId self, std::uint64_t incarnation, LeaseOptions options = {});

    /** Sets the lowest fencing token that this node acquires the lease with. */
    void setFirstFencing(std::uint64_t fencing) { m_firstFencing = fencing; }

    /** Sets whether this node tries to acquire and keep the lease; false releases it. */
    LeaseActions setWanted(bool wanted, TimePoint now);

    /**
     * Handles the result of ReadLease.
     *
     * @param record empty when the object could not be decoded; ignored on an error.
     */
    LeaseActions read(std::uint64_t operation, StoreError error,
                      const std::optional<LeaseRecord> &record, std::uint64_t version,
                      TimePoint now);

    /** Handles the result of WriteLease. */
    LeaseActions written(std::uint64_t operation, StoreError error, std::uint64_t version,
                         TimePoint now);

    /** Handles timeouts and delayed calls that are due. */
    LeaseActions wake(TimePoint now);

    /** @return the lease when this node may use it at @p now, otherwise nothing. */
    std::optional<HeldLease> held(TimePoint now) const;

    /** @return the last record that was read or successfully written. */
    const LeaseRecord &lastRecord() const { return m_lastRecord; }

private:
    void advance(TimePoint now, LeaseActions &actions);
    void startNextCall(TimePoint now, LeaseActions &actions);
    void checkExpiry(TimePoint now, LeaseActions &actions);
    void dropLease(LeaseActions &actions);
    void startRead(TimePoint now, LeaseActions &actions);
    void startWrite(const LeaseRecord &record, TimePoint now, LeaseActions &actions);
    void observe(const LeaseRecord &record, std::uint64_t version, TimePoint now);
    void confirmOwnLease(TimePoint now, LeaseActions &actions);
    bool isOwn(const LeaseRecord &record) const;
    bool mayAcquire(TimePoint now) const;

    NodeId m_self;
    std::uint64_t m_incarnation;
    LeaseOptions m_options;
    std::uint64_t m_firstFencing = 1;
    bool m_wanted = false;
    bool m_releasing = false;

    LeaseRecord m_lastRecord;
    std::uint64_t m_version = 0;
    /** False when the stored record has to be read again before a write. */
    bool m_recordIsCurrent = false;
    /** When the current value of m_lastRecord was first seen. */
    TimePoint m_unchangedSince;

    std::uint64_t m_operation = 0;
    bool m_callInFlight = false;
    bool m_writeInFlight = false;
    TimePoint m_operationStart;
    /** The last record that this node tried to write. */
    std::optional<LeaseRecord> m_attemptedRecord;
    /** When the first write of m_attemptedRecord was sent. */
    TimePoint m_attemptedAt;

    std::optional<HeldLease> m_held;
    TimePoint m_renewAt;
    TimePoint m_nextCallAt;
    /** No write before this time; set after a write without an answer. */
    TimePoint m_noWriteBefore;
};

} // namespace hawthornslip
