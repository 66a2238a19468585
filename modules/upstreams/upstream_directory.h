#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip {

/** The registration of an upstream. */
struct UpstreamEntry
{
    UpstreamId id;
    std::string service;
    /** `ip:port`. */
    std::string address;
    FailureDomain domain;
    /** Requests that it runs concurrently. */
    std::uint32_t slots = 1;
    /** It finishes its current requests and accepts no new ones. */
    bool draining = false;
    /** When its process started, in milliseconds since the epoch; zero when it does not say. */
    std::uint64_t bornMs = 0;
    /** The provider may take it away with short notice. */
    bool reclaimable = false;
    /** Time from the write of the entry until it ends; nothing when it does not say. */
    std::optional<Duration> leavesIn{};
    /** Version of its software, not of its weights; empty when it names none. */
    std::string softwareVersion{};

    bool operator==(const UpstreamEntry &) const = default;
};

/** What the platform's list says of a process that was listed. */
enum class ProcessListing {
    Listed,
    /** Its entry was removed. */
    Gone,
    /** A process that started later has its id or its address. */
    Replaced,
};

/** How long entries are kept after their removal. */
struct DirectoryTimes
{
    /** Time after which a removed upstream must not get new requests. */
    Duration drainWithin = seconds(2);
    /** Time in which upstreams register again after their entries expired in a store outage. */
    Duration reregisterWithin = milliseconds(2200);
    /** Interval in which upstreams renew their registration. */
    Duration heartbeat = milliseconds(1200);
};

/** The upstreams known to this node, from the platform's list and from their responses. */
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(DirectoryTimes times);

    /** Changes the times; they apply to entries that are removed from now on. */
    void setTimes(DirectoryTimes times) { m_times = times; }

    /** Applies the complete list; entries that are missing from it count as removed. */
    void replaceAll(const std::vector<UpstreamEntry> &entries, TimePoint now);

    /**
     * Applies the first list after the store has restarted from an older copy. Upstreams that have
     * left since the copy was taken are in it again; they stay unused until they write their entry
     * or the platform would have dropped it. Those that are missing may register again.
     */
    void replaceAllRestored(const std::vector<UpstreamEntry> &entries, TimePoint now);

    /** @return true if the process of @p entry has left or drains, though @p entry does not say so.
     */
    bool hasLeft(const UpstreamEntry &entry) const;

    /** @return what the list says of the process that @p entry named. */
    ProcessListing listing(const UpstreamEntry &entry) const;

    /** Adds or updates an entry. */
    void put(const UpstreamEntry &entry, TimePoint now);

    /**
     * Marks an entry as removed.
     *
     * @return true if it may have expired in an outage of the store, so that it stays in use.
     */
    bool remove(const UpstreamId &id, TimePoint now);

    /**
     * Records that the store answers this node again.
     *
     * @param away longest time that the store may have been away. Entries expire only if upstreams
     *        could not renew them for as many intervals as the platform waits.
     */
    void onStoreRecovered(TimePoint now, Duration away);

    /** Records a response which shows that @p id no longer has its address. */
    void markMisdirected(const UpstreamId &id);

    /**
     * Records that an upstream says in a response that it leaves. It is used only as a fallback
     * while requests can reach it within the drain time, and then no more until it restarts.
     *
     * @return true if that was not known.
     */
    bool markLeaving(const UpstreamId &id, TimePoint now);

    /**
     * Records that the process of an upstream has ended, which the platform notices later.
     *
     * @param idHash result of rendezvousMemberHash() for its id.
     */
    void markEnded(std::uint64_t idHash, TimePoint endedAt, TimePoint now);

    /**
     * Drops removed entries whose retention time is over, and makes ended upstreams usable again
     * that are still listed; call before reading.
     */
    void expire(TimePoint now);

    /**
     * @return the upstreams of @p service that may get new requests. Recently removed, ended and
     *         leaving ones are included only when there are no others, or when they may register
     *         again after a store outage.
     */
    std::vector<UpstreamEntry> usable(std::string_view service, TimePoint now) const;

    /**
     * @return the listed upstreams of @p service, also those without new requests; one that has
     *         said that it leaves is draining.
     */
    std::vector<UpstreamEntry> listed(std::string_view service) const;

    /** @return all entries, also of upstreams that are removed and may still get requests. */
    std::vector<UpstreamEntry> entries() const;

    /** @return a number that changes whenever the directory changes. */
    std::uint64_t revision() const { return m_revision; }

    /** @return the number of entries, including removed ones that have not expired. */
    std::size_t size() const { return m_entries.size(); }

private:
    struct Record
    {
        UpstreamEntry entry;
        /** Gets no requests at all. */
        bool unusable = false;
        bool removed = false;
        /** The entry may have expired only because of a store outage. */
        bool mayReregister = false;
        TimePoint expiresAt = TimePoint::max();
        /** When another process was seen to have started under the id. */
        std::optional<TimePoint> restartedAt;
        /** It says that it leaves; it is a fallback until then. */
        std::optional<TimePoint> leavesAt;
        /** Its process has ended; it is not used until then. */
        std::optional<TimePoint> endedUntil;
        /** It had left before the store was restored; it is not used until then. */
        std::optional<TimePoint> leftUntil;
    };

    /** One start of an upstream. */
    struct Process
    {
        UpstreamId id;
        std::string address;
        std::uint64_t bornMs = 0;

        auto operator<=>(const Process &) const = default;
    };

    /** A start of an upstream that has said that it leaves. */
    struct Leaver
    {
        Process process;
        TimePoint leavesAt{};
    };

    static Process processOf(const UpstreamEntry &entry);
    /** @return when the process of @p entry leaves, if it has said so. */
    std::optional<TimePoint> leavesAt(const UpstreamEntry &entry) const;
    /** Removes the entries that are not in @p entries. */
    void removeMissing(const std::vector<UpstreamEntry> &entries, TimePoint now);
    void markRemoved(Record &record, TimePoint now);
    void recordLeft(const UpstreamEntry &entry);

    DirectoryTimes m_times;
    TimePoint m_storeRecoveredAt{};
    std::map<UpstreamId, Record> m_entries;
    /** Upstreams that have left or drain, the oldest first. */
    std::deque<Process> m_left;
    /** Kept longer than the entries, which may expire and return; the oldest first. */
    std::deque<Leaver> m_leavers;
    std::uint64_t m_revision = 0;
};

} // namespace hawthornslip
