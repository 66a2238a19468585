#pragma once

#include "modules/claims/claim_types.h"

#include <optional>
#include <variant>

/** Events into and actions out of a ClaimShard. */
namespace hawthornslip {

/** A node asks for a key; a repeated message carries the same claim id. */
struct ClaimCall
{
    NodeId asker;
    std::uint64_t claimId = 0;
    std::string keyHash;
    std::uint64_t bodyHash = 0;
};

/** The holder reports how the request of its claim ended. */
struct ClaimOutcomeReport
{
    /** Gets the acknowledgement; empty when none is wanted. */
    NodeId reporter;
    std::uint64_t claimId = 0;
    std::string keyHash;
    ClaimState state = ClaimState::MayHaveRun;
    int httpStatus = 0;
};

/** A node asks what is known of a key. */
struct ClaimLookup
{
    NodeId asker;
    std::uint64_t queryId = 0;
    std::string keyHash;
};

/** What a holder says of its own claim. */
struct HolderView
{
    /** False when the holder has no memory of the claim, or did not answer. */
    bool known = false;
    /** Claimed means that the request is in progress. */
    ClaimState state = ClaimState::Claimed;
    int httpStatus = 0;
};

/** Read the shard's object. */
struct ReadClaimShard
{
    std::uint64_t operation = 0;
};

/** Read a sealed segment. */
struct ReadClaimSegment
{
    std::uint64_t operation = 0;
    std::string name;
};

/** Write the shard's object when its version is still @c expectedVersion. */
struct WriteClaimShard
{
    std::uint64_t operation = 0;
    std::uint64_t expectedVersion = 0;
    ClaimShardData data;
    /** Claims and outcomes that this write carries. */
    std::size_t changes = 0;
};

/** Create a segment; it must not exist yet. */
struct WriteClaimSegment
{
    std::uint64_t operation = 0;
    std::string name;
    std::vector<ClaimRecord> records;
};

/** Empty a segment that no shard object lists any more. */
struct ClearClaimSegment
{
    std::string name;
};

/** Answer a claim. */
struct SendClaimReply
{
    NodeId to;
    std::uint64_t claimId = 0;
    ClaimVerdict verdict = ClaimVerdict::StoreUnavailable;
    NodeId holder;
    int httpStatus = 0;
    std::uint32_t attempt = 0;
    /** A write with this claim got no answer and may still take effect. */
    bool mayBeStored = false;
};

/** Tell a holder that its outcome is stored. */
struct SendOutcomeAck
{
    NodeId to;
    std::uint64_t claimId = 0;
};

/** Answer a lookup. */
struct SendLookupReply
{
    NodeId to;
    std::uint64_t queryId = 0;
    /** Nothing when the key was never claimed; Claimed means in progress. */
    std::optional<ClaimRecord> record;
    bool storeUnavailable = false;
};

/** Ask the holder of a claim whether it still works on it. */
struct AskClaimHolder
{
    NodeId holder;
    std::uint64_t claimId = 0;
};

/** Call wake() at this time. */
struct WakeClaimShard
{
    TimePoint at;
};

/** A state that the rules exclude was seen; to be counted and logged. */
struct ClaimViolation
{
    std::uint64_t claimId = 0;
    ClaimState reported = ClaimState::Ran;
};

using ClaimAction =
        std::variant<ReadClaimShard, ReadClaimSegment, WriteClaimShard, WriteClaimSegment,
                     ClearClaimSegment, SendClaimReply, SendOutcomeAck, SendLookupReply,
                     AskClaimHolder, WakeClaimShard, ClaimViolation>;
using ClaimActions = std::vector<ClaimAction>;

} // namespace hawthornslip
