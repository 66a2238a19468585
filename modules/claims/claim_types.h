#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/** Data types for claims on the idempotency keys of non-idempotent requests. */
namespace hawthornslip {

/** Number of claim shards; each is stored as one object. */
inline constexpr std::uint32_t kClaimShardCount = 64;

/** Known state of a claimed request. */
enum class ClaimState { Claimed, Ran, NotRun, MayHaveRun };

inline constexpr EnumNames<ClaimState, 4> kClaimStateNames = {{
        {ClaimState::Claimed, "claimed"},
        {ClaimState::Ran, "ran"},
        {ClaimState::NotRun, "not_run"},
        {ClaimState::MayHaveRun, "may_have_run"},
}};

/** Result of a claim. The request may be sent only after Granted. */
enum class ClaimVerdict { Granted, InProgress, Ran, MayHaveRun, KeyReused, StoreUnavailable, Full };

inline constexpr EnumNames<ClaimVerdict, 7> kClaimVerdictNames = {{
        {ClaimVerdict::Granted, "granted"},
        {ClaimVerdict::InProgress, "in_progress"},
        {ClaimVerdict::Ran, "ran"},
        {ClaimVerdict::MayHaveRun, "may_have_run"},
        {ClaimVerdict::KeyReused, "key_reused"},
        {ClaimVerdict::StoreUnavailable, "store_unavailable"},
        {ClaimVerdict::Full, "full"},
}};

/** A claim as it is stored. */
struct ClaimRecord
{
    std::string keyHash;
    std::uint64_t bodyHash = 0;
    std::uint64_t claimId = 0;
    NodeId holder;
    /** Incremented when a key is claimed again after an attempt that did not run. */
    std::uint32_t attempt = 1;
    ClaimState state = ClaimState::Claimed;
    int httpStatus = 0;
    UnixMillis writtenAt = 0;

    bool operator==(const ClaimRecord &) const = default;

    /** @return an upper bound estimate of the encoded size in bytes. */
    std::size_t encodedBytes() const
    {
        constexpr std::size_t kFixedBytes = 56;
        return kFixedBytes + keyHash.size() + holder.value.size();
    }
};

/** Reference to a segment: an immutable object with records moved out of the shard object. */
struct ClaimSegmentRef
{
    std::string name;
    UnixMillis newestWrittenAt = 0;
    std::uint32_t records = 0;

    bool operator==(const ClaimSegmentRef &) const = default;
};

/** Contents of the shard object `claims/<shard>`. */
struct ClaimShardData
{
    /** Random id of the last write; an object whose id is 0 is rejected as undecodable. */
    std::uint64_t batchId = 0;
    /** Records that are not yet sealed into a segment. */
    std::vector<ClaimRecord> open;
    /** Oldest first. */
    std::vector<ClaimSegmentRef> segments;
    std::uint64_t nextSegment = 0;

    bool operator==(const ClaimShardData &) const = default;
};

/** Monotonic and wall clock time of an event. The wall clock is used only for retention. */
struct ClaimTime
{
    TimePoint now;
    UnixMillis wall = 0;
};

} // namespace hawthornslip
