#pragma once

#include "modules/claims/claim_types.h"

#include <optional>
#include <variant>

/** Events into and actions out of a ClaimShard. */
namespace hawthornslip {

/** A node requests a claim on a key. A retransmission carries the same claim id. */
struct ClaimRequest
{
    NodeId requester;
    std::uint64_t claimId = 0;
    std::string keyHash;
    std::uint64_t bodyHash = 0;
};

/** The holder of a claim reports the outcome of its request. */
struct ClaimOutcomeReport
{
    /** Receives the acknowledgement; empty when no acknowledgement is needed. */
    NodeId reporter;
    std::uint64_t claimId = 0;
    std::string keyHash;
    ClaimState state = ClaimState::MayHaveRun;
    int httpStatus = 0;
};

/** A node queries the state of a key. */
struct ClaimLookup
{
    NodeId requester;
    std::uint64_t queryId = 0;
    std::string keyHash;
};

/** The state of a claim as its holder reports it. */
struct HolderView
{
    /** False when the holder has no record of the claim or did not answer in time. */
    bool known = false;
    /** Claimed means that the request is in progress. */
    ClaimState state = ClaimState::Claimed;
    int httpStatus = 0;
};

/** Read the shard's object from the store. */
struct ReadClaimShard
{
    std::uint64_t operation = 0;
};

/** Read a sealed segment from the store. */
struct ReadClaimSegment
{
    std::uint64_t operation = 0;
    std::string name;
};

/** Write the shard's object if its version is still @c expectedVersion (compare-and-swap). */
struct WriteClaimShard
{
    std::uint64_t operation = 0;
    std::uint64_t expectedVersion = 0;
    ClaimShardData data;
    /** Number of claims and outcomes in this write. */
    std::size_t changes = 0;
};

/** Create a segment object; fails with a conflict when it exists. */
struct WriteClaimSegment
{
    std::uint64_t operation = 0;
    std::string name;
    std::vector<ClaimRecord> records;
};

/** Empty a segment object that the shard object no longer lists. */
struct ClearClaimSegment
{
    std::string name;
};

/** Send the verdict on a claim to the node that requested it. */
struct SendClaimReply
{
    NodeId to;
    std::uint64_t claimId = 0;
    ClaimVerdict verdict = ClaimVerdict::StoreUnavailable;
    NodeId holder;
    int httpStatus = 0;
    std::uint32_t attempt = 0;
    /** A write that contains this claim got no answer, so the claim may be stored. */
    bool mayBeStored = false;
};

/** Acknowledge that an outcome is stored. */
struct SendOutcomeAck
{
    NodeId to;
    std::uint64_t claimId = 0;
};

/** Send the result of a lookup. */
struct SendLookupReply
{
    NodeId to;
    std::uint64_t queryId = 0;
    /** Empty when the key has no record. The state Claimed means in progress. */
    std::optional<ClaimRecord> record;
    bool storeUnavailable = false;
};

/** Query the holder of a claim for its current state. */
struct QueryClaimHolder
{
    NodeId holder;
    std::uint64_t claimId = 0;
};

/** Schedule a call of ClaimShard::wake() at this time. */
struct WakeClaimShard
{
    TimePoint at;
};

/** Invariant violation: an outcome other than NotRun was reported for a superseded claim. */
struct ClaimViolation
{
    std::uint64_t claimId = 0;
    ClaimState reported = ClaimState::Ran;
};

using ClaimAction =
        std::variant<ReadClaimShard, ReadClaimSegment, WriteClaimShard, WriteClaimSegment,
                     ClearClaimSegment, SendClaimReply, SendOutcomeAck, SendLookupReply,
                     QueryClaimHolder, WakeClaimShard, ClaimViolation>;
using ClaimActions = std::vector<ClaimAction>;

} // namespace hawthornslip
