#pragma once

#include "core/interfaces/object_store.h"
#include "modules/claims/claim_events.h"
#include "modules/claims/claim_index.h"
#include "modules/claims/claim_rules.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hawthornslip {

/** Timeouts and limits of a ClaimShard. */
struct ClaimShardOptions
{
    /** Delay before a claim is written, so that several claims share one write. */
    Duration batchWait = milliseconds(5);
    /** Delay before an outcome is written; longer because no caller waits for it. */
    Duration outcomeWait = milliseconds(100);
    /** Time limit for the reply of a claim's holder. */
    Duration holderTimeout = milliseconds(300);
    /** Time limit for a pending entry; requesting nodes time out earlier. */
    Duration entryTimeout = seconds(10);
    /** Time limit for one store call; longer than the driver's own timeout. */
    Duration operationTimeout = seconds(10);
    /** Backoff after the first failed store call; doubles up to @c maxBackoff. */
    Duration initialBackoff = milliseconds(50);
    Duration maxBackoff = seconds(1);
    /** Retention time of keys in milliseconds; documented to callers. */
    std::int64_t retentionMillis = std::int64_t{24} * 3600 * 1000;
    /** Open records are sealed into a segment above this size in bytes. */
    std::size_t sealBytes = 256U << 10;
    /** New claims are refused from this count on; 20,000 records are about 5 MB in memory. */
    std::size_t maxRecords = 20'000;
    /** Limit of pending claims, of pending outcomes and of pending lookups. */
    std::size_t maxPending = 4096;
    /** Limit of changes per write; keeps the object far below the store's limit of 1 MB. */
    std::size_t maxBatch = 512;
};

/**
 * Owner side of one shard: processes claims, outcomes and lookups, and stores changes in batches
 * with conditional writes.
 *
 * Any number of nodes may run an instance for the same shard at the same time. A claim is granted
 * only when its record is part of a version that the store confirmed, by a successful write or by a
 * read. Refusals of a reused key or because of a full shard, and lookup results other than "ran",
 * use a version that was current after the request arrived. "ran" is final, so any version will do.
 */
class ClaimShard
{
public:
    /**
     * @param shard number of the shard.
     * @param seed seed of the random number generator for batch ids.
     */
    ClaimShard(std::uint32_t shard, ClaimShardOptions options, std::uint64_t seed);

    /** Handles a claim. Retransmissions are detected by their claim id. */
    ClaimActions claim(const ClaimRequest &request, ClaimTime time);

    /** Handles the outcome of a claim; acknowledged once it is stored or superseded. */
    ClaimActions outcome(const ClaimOutcomeReport &report, ClaimTime time);

    /** Handles a query for the state of a key. */
    ClaimActions lookUp(const ClaimLookup &lookup, ClaimTime time);

    /** Handles the reply to QueryClaimHolder. */
    ClaimActions holderAnswered(std::uint64_t claimId, const HolderView &view, ClaimTime time);

    /**
     * Handles the result of ReadClaimShard.
     *
     * @param data empty when the object could not be decoded; ignored on an error.
     */
    ClaimActions shardRead(std::uint64_t operation, StoreError error,
                           const std::optional<ClaimShardData> &data, std::uint64_t version,
                           ClaimTime time);

    /** Handles the result of ReadClaimSegment. */
    ClaimActions segmentRead(std::uint64_t operation, const std::string &name, StoreError error,
                             const std::optional<std::vector<ClaimRecord>> &records,
                             ClaimTime time);

    /** Handles the result of WriteClaimShard; @p version is the new version. */
    ClaimActions shardWritten(std::uint64_t operation, StoreError error, std::uint64_t version,
                              ClaimTime time);

    /** Handles the result of WriteClaimSegment. */
    ClaimActions segmentWritten(std::uint64_t operation, StoreError error, ClaimTime time);

    /** Handles timeouts and delayed work that is due. */
    ClaimActions wake(ClaimTime time);

    /** @return true when nothing is pending, so that the instance can be destroyed. */
    bool idle() const;

private:
    enum class Io {
        Idle,
        ReadingShard,
        ReadingSegments,
        WritingShard,
        WritingSegment,
        CheckingSegment
    };

    /** Query to the holder of a claim that the store shows in progress. */
    struct HolderQuery
    {
        std::uint64_t claimId = 0;
        TimePoint deadline;
        std::optional<HolderView> view;
        TimePoint answeredAt;
    };

    struct PendingClaim
    {
        ClaimRequest request;
        TimePoint arrivedAt;
        HolderQuery query;
        /** A write that contains this claim got no answer. */
        bool mayBeStored = false;
    };

    struct PendingOutcome
    {
        ClaimOutcomeReport report;
        TimePoint arrivedAt;
    };

    struct PendingLookup
    {
        ClaimLookup lookup;
        TimePoint arrivedAt;
        HolderQuery query;
    };

    // Changes of the next write, by key hash.
    using Changes = std::map<std::string, ClaimRecord>;

    // claim_shard.cpp: events and the state machine.
    ClaimActions advance(ClaimTime time);
    void step(ClaimTime time, ClaimActions &actions);
    void wakeAt(TimePoint at, ClaimActions &actions);
    void expirePending(ClaimTime time, ClaimActions &actions);
    void refuseClaims(ClaimActions &actions);
    void failLookups(ClaimActions &actions);

    // claim_shard_store.cpp: store operations.
    std::uint64_t begin(Io io, ClaimTime time);
    bool finish(std::uint64_t operation);
    void startRead(ClaimTime time, ClaimActions &actions);
    void readMissingSegments(ClaimTime time, ClaimActions &actions);
    void startWrite(const Changes &changes, ClaimTime time, ClaimActions &actions);
    void startSeal(ClaimTime time, ClaimActions &actions);
    void checkSegment(ClaimTime time, ClaimActions &actions);
    void segmentChecked(StoreError error, bool same, ClaimTime time, ClaimActions &actions);
    void appendSealedSegment(ClaimShardData &next, std::vector<ClaimRecord> &open) const;
    void dropExpired(ClaimShardData &next, ClaimTime time);
    void onStoreFailure(StoreError error, ClaimTime time, ClaimActions &actions);
    void onWriteUnanswered();

    // claim_shard_answers.cpp: replies based on the loaded version.
    void resolveOutcomes(ClaimTime time, ClaimActions &actions);
    void resolveClaims(ClaimTime time, ClaimActions &actions);
    void resolveLookups(ClaimTime time, ClaimActions &actions);
    bool resolveClaim(PendingClaim &pending, ClaimTime time, ClaimActions &actions);
    bool resolveLookup(PendingLookup &pending, ClaimTime time, ClaimActions &actions);
    std::optional<HolderView> holderView(HolderQuery &query, const ClaimRecord &record,
                                         ClaimTime time, ClaimActions &actions);
    bool requireFreshSince(TimePoint since);
    const ClaimRecord *findUnexpired(const std::string &keyHash, ClaimTime time) const;
    Changes collectChanges(ClaimTime time, TimePoint &due);
    bool full() const;

    std::uint32_t m_shard;
    ClaimShardOptions m_options;
    std::mt19937_64 m_random;

    /** The loaded version, on which the next write is based. */
    ClaimIndex m_index;
    bool m_loaded = false;
    /** The loaded version was current at this time or later. */
    TimePoint m_currentAsOf;
    /** A pending reply needs a newer read. */
    bool m_refreshNeeded = false;

    Io m_io = Io::Idle;
    std::uint64_t m_operation = 0;
    TimePoint m_operationStart;
    std::size_t m_segmentsToRead = 0;
    ClaimShardData m_dataInFlight;
    std::vector<std::uint64_t> m_claimIdsInFlight;
    std::vector<std::string> m_expiredSegments;
    /** The segment that holds the open records of m_sealedVersion. */
    std::optional<ClaimSegmentRef> m_sealed;
    std::uint64_t m_sealedVersion = 0;

    /** No store operation starts before this time. */
    TimePoint m_retryAt;
    /** No write before this time. */
    TimePoint m_noWriteBefore;
    Duration m_backoff{0};
    bool m_storeUnavailable = false;

    std::deque<PendingClaim> m_claims;
    std::deque<PendingOutcome> m_outcomes;
    std::deque<PendingLookup> m_lookups;
};

} // namespace hawthornslip
