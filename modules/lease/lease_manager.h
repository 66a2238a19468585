#pragma once

#include "core/interfaces/object_store.h"
#include "core/time.h"
#include "modules/lease/lease_record.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace hawthornslip {

/** Times of a lease. */
struct LeaseOptions
{
    Duration duration = seconds(10);
    Duration renewInterval = seconds(3);
    /** The holder stops this much before the end, for clocks that run at different speeds. */
    Duration margin = seconds(1);
    /** How often a node that waits for the lease reads it. */
    Duration readInterval = seconds(3);
    /** Wait after a failed call of the holder. */
    Duration retryInterval = milliseconds(500);
    /** Longest wait for the answer to one call, above the driver's own timeout. */
    Duration operationTimeout = seconds(5);
};

/** A lease as its holder may use it. */
struct HeldLease
{
    std::uint64_t fencing = 0;
    /** When this node became the holder, after the earlier lease had ended. */
    TimePoint acquiredAt;
    /** No order may be given from this time on. */
    TimePoint usableUntil;
};

/** Read the lease's object. */
struct ReadLease
{
    std::uint64_t operation = 0;
};

/** Write the lease's object when its version is still @c expectedVersion. */
struct WriteLease
{
    std::uint64_t operation = 0;
    std::uint64_t expectedVersion = 0;
    LeaseRecord record;
};

/** This node holds the lease now. */
struct LeaseAcquired
{
    std::uint64_t fencing = 0;
};

/** This node no longer holds the lease. */
struct LeaseLost
{
    std::uint64_t fencing = 0;
};

/** Call wake() at this time. */
struct WakeLease
{
    TimePoint at;
};

using LeaseAction = std::variant<ReadLease, WriteLease, LeaseAcquired, LeaseLost, WakeLease>;
using LeaseActions = std::vector<LeaseAction>;

/**
 * Takes, renews and gives back one lease in the object store.
 *
 * A holder counts the end of its lease from before the write was sent. A taker waits a full
 * duration of its own clock without seeing a change, so that the earlier lease has ended by then,
 * however long its holder is paused. Every call of held() compares the clock, which is the check
 * before each order.
 */
class LeaseManager
{
public:
    LeaseManager(NodeId self, std::uint64_t incarnation, LeaseOptions options = {});

    /** Sets whether this node tries to hold the lease. */
    LeaseActions setWanted(bool wanted, TimePoint now);

    /**
     * Takes the result of ReadLease.
     *
     * @param record nothing when the object could not be decoded; ignored on an error.
     */
    LeaseActions read(std::uint64_t operation, StoreError error,
                      const std::optional<LeaseRecord> &record, std::uint64_t version,
                      TimePoint now);

    /** Takes the result of WriteLease. */
    LeaseActions written(std::uint64_t operation, StoreError error, std::uint64_t version,
                         TimePoint now);

    /** Continues what waits for a time. */
    LeaseActions wake(TimePoint now);

    /** @return the lease when this node may act on it at @p now, otherwise nothing. */
    std::optional<HeldLease> held(TimePoint now) const;

    /** @return the lease's record as last seen. */
    const LeaseRecord &seen() const { return m_seen; }

private:
    void advance(TimePoint now, LeaseActions &actions);
    void startNextCall(TimePoint now, LeaseActions &actions);
    void checkEnd(TimePoint now, LeaseActions &actions);
    void lose(LeaseActions &actions);
    void startRead(TimePoint now, LeaseActions &actions);
    void startWrite(const LeaseRecord &record, TimePoint now, LeaseActions &actions);
    void observe(const LeaseRecord &record, std::uint64_t version, TimePoint now);
    void confirmOwn(TimePoint now, LeaseActions &actions);
    bool isOwn(const LeaseRecord &record) const;
    bool mayTake(TimePoint now) const;

    NodeId m_self;
    std::uint64_t m_incarnation;
    LeaseOptions m_options;
    bool m_wanted = false;
    bool m_releasing = false;

    LeaseRecord m_seen;
    std::uint64_t m_version = 0;
    bool m_known = false;
    /** When m_seen was first seen as it is. */
    TimePoint m_unchangedSince;

    std::uint64_t m_operation = 0;
    bool m_busy = false;
    bool m_writing = false;
    TimePoint m_operationStart;
    /** The last record that this node tried to write, and when that was first sent. */
    std::optional<LeaseRecord> m_attempted;
    TimePoint m_attemptedAt;

    std::optional<HeldLease> m_held;
    TimePoint m_renewAt;
    TimePoint m_nextCall;
    /** No write before this time, after one without an answer. */
    TimePoint m_writeAt;
};

} // namespace hawthornslip
