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

/** Times and bounds of a ClaimShard. */
struct ClaimShardOptions
{
    /** A claim waits this long for others to share its write. */
    Duration batchWait = milliseconds(5);
    /** An outcome may wait longer: no caller waits for it. */
    Duration outcomeWait = milliseconds(100);
    /** How long the holder of a claim may take to answer. */
    Duration holderWait = milliseconds(300);
    /** Longest wait of an entry before it is given up; askers give up earlier. */
    Duration entryTimeout = seconds(10);
    /** Longest wait for the answer to one store call, above the driver's own timeout. */
    Duration operationTimeout = seconds(10);
    /** First wait after a failed store call; doubles up to the longest. */
    Duration firstBackoff = milliseconds(50);
    Duration longestBackoff = seconds(1);
    /** How long a key stays known; stated to callers. */
    std::int64_t retentionMillis = std::int64_t{24} * 3600 * 1000;
    /** Open records are sealed into a segment above this size. */
    std::size_t sealBytes = 256U << 10;
    /** New claims are refused above this count: 20,000 records are about 5 MB in memory. */
    std::size_t maxRecords = 20'000;
    std::size_t maxPending = 4096;
    /** Bounds a batch, so that the object stays far below the store's 1 MB. */
    std::size_t maxBatch = 512;
};

/**
 * Decides for one shard of claims: takes claims, outcomes and lookups, and writes them in batches
 * by conditional updates.
 *
 * Any number of nodes may run an instance for the same shard at the same time. A claim is granted
 * only when its record was seen in a version of the object that the store confirmed, by an answered
 * write or by a read. Refusals other than "ran", which is final, and answers to lookups rest on a
 * version that was current after the question arrived.
 */
class ClaimShard
{
public:
    /**
     * @param shard number of the shard.
     * @param seed of the engine for batch ids.
     */
    ClaimShard(std::uint32_t shard, ClaimShardOptions options, std::uint64_t seed);

    /** Takes a claim; a repeated one is recognised by its claim id. */
    ClaimActions claim(const ClaimCall &call, ClaimTime time);

    /** Takes the outcome of a claim; it is acknowledged once it is stored. */
    ClaimActions outcome(const ClaimOutcomeReport &report, ClaimTime time);

    /** Takes a question for the state of a key. */
    ClaimActions lookUp(const ClaimLookup &lookup, ClaimTime time);

    /** Takes the answer to AskClaimHolder. */
    ClaimActions holderAnswered(std::uint64_t claimId, const HolderView &view, ClaimTime time);

    /**
     * Takes the result of ReadClaimShard.
     *
     * @param data nothing when the object could not be decoded; ignored on an error.
     */
    ClaimActions shardRead(std::uint64_t operation, StoreError error,
                           const std::optional<ClaimShardData> &data, std::uint64_t version,
                           ClaimTime time);

    /** Takes the result of ReadClaimSegment. */
    ClaimActions segmentRead(std::uint64_t operation, const std::string &name, StoreError error,
                             const std::optional<std::vector<ClaimRecord>> &records,
                             ClaimTime time);

    /** Takes the result of WriteClaimShard; @p version is the new one. */
    ClaimActions shardWritten(std::uint64_t operation, StoreError error, std::uint64_t version,
                              ClaimTime time);

    /** Takes the result of WriteClaimSegment. */
    ClaimActions segmentWritten(std::uint64_t operation, StoreError error, ClaimTime time);

    /** Continues what waits for a time. */
    ClaimActions wake(ClaimTime time);

    /** @return true when nothing waits, so that the instance may be dropped. */
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

    /** Someone who needs to know whether a claim in progress is still known to its holder. */
    struct HolderQuestion
    {
        std::uint64_t claimId = 0;
        TimePoint deadline;
        std::optional<HolderView> view;
        TimePoint answeredAt;
    };

    struct PendingClaim
    {
        ClaimCall call;
        TimePoint arrivedAt;
        HolderQuestion question;
        /** A write with this claim got no answer. */
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
        HolderQuestion question;
    };

    // Changes of the next write by key.
    using Changes = std::map<std::string, ClaimRecord>;

    // claim_shard.cpp: events and the order of steps.
    ClaimActions advance(ClaimTime time);
    void step(ClaimTime time, ClaimActions &actions);
    void wakeAt(TimePoint at, ClaimActions &actions);
    void giveUpOld(ClaimTime time, ClaimActions &actions);
    void refuseClaims(ClaimActions &actions);
    void failLookups(ClaimActions &actions);

    // claim_shard_store.cpp: calls to the store.
    std::uint64_t begin(Io io, ClaimTime time);
    bool finish(std::uint64_t operation);
    void startRead(ClaimTime time, ClaimActions &actions);
    void readMissingSegments(ClaimTime time, ClaimActions &actions);
    void startWrite(const Changes &changes, ClaimTime time, ClaimActions &actions);
    void startSeal(ClaimTime time, ClaimActions &actions);
    void checkSegment(ClaimTime time, ClaimActions &actions);
    void segmentChecked(StoreError error, bool same, ClaimTime time, ClaimActions &actions);
    void addSealed(ClaimShardData &next, std::vector<ClaimRecord> &open) const;
    void dropExpired(ClaimShardData &next, ClaimTime time);
    void storeFailed(StoreError error, ClaimTime time, ClaimActions &actions);
    void writeLost();

    // claim_shard_answers.cpp: what can be answered from the version at hand.
    void settleOutcomes(ClaimTime time, ClaimActions &actions);
    void settleClaims(ClaimTime time, ClaimActions &actions);
    void settleLookups(ClaimTime time, ClaimActions &actions);
    bool settleClaim(PendingClaim &pending, ClaimTime time, ClaimActions &actions);
    bool settleLookup(PendingLookup &pending, ClaimTime time, ClaimActions &actions);
    std::optional<HolderView> holderView(HolderQuestion &question, const ClaimRecord &record,
                                         ClaimTime time, ClaimActions &actions);
    bool freshSince(TimePoint since);
    const ClaimRecord *findLive(const std::string &keyHash, ClaimTime time) const;
    Changes collectChanges(ClaimTime time, TimePoint &due);
    bool full() const;

    std::uint32_t m_shard;
    ClaimShardOptions m_options;
    std::mt19937_64 m_random;

    ClaimIndex m_base;
    bool m_loaded = false;
    /** The base was the current version at this time or later. */
    TimePoint m_freshAt;
    /** An answer waits for a newer read. */
    bool m_refreshWanted = false;

    Io m_io = Io::Idle;
    std::uint64_t m_operation = 0;
    TimePoint m_operationStart;
    std::size_t m_segmentsToRead = 0;
    ClaimShardData m_writing;
    std::vector<std::uint64_t> m_claimsWriting;
    std::vector<std::string> m_droppedSegments;
    /** The segment that holds the open records of this version. */
    std::optional<ClaimSegmentRef> m_sealed;
    std::uint64_t m_sealedVersion = 0;

    TimePoint m_retryAt;
    /** No write before this time. */
    TimePoint m_writeAt;
    Duration m_backoff{0};
    bool m_storeDown = false;

    std::deque<PendingClaim> m_claims;
    std::deque<PendingOutcome> m_outcomes;
    std::deque<PendingLookup> m_lookups;
};

} // namespace hawthornslip
