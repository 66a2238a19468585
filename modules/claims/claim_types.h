#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/** The claims of keyed non-idempotent requests as plain types. */
namespace hawthornslip {

/** Number of shards; each is one object of the store. */
inline constexpr std::uint32_t kClaimShards = 64;

/** What is known of a claimed request. */
enum class ClaimState { Claimed, Ran, NotRun, MayHaveRun };

inline constexpr EnumNames<ClaimState, 4> kClaimStateNames = {{
        {ClaimState::Claimed, "claimed"},
        {ClaimState::Ran, "ran"},
        {ClaimState::NotRun, "not_run"},
        {ClaimState::MayHaveRun, "may_have_run"},
}};

/** The answer to a claim. Only Granted allows the request to be sent. */
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

/** One claim as it is stored. */
struct ClaimRecord
{
    std::string keyHash;
    std::uint64_t bodyHash = 0;
    std::uint64_t claimId = 0;
    NodeId holder;
    /** Rises when a key is claimed again after it was not run. */
    std::uint32_t attempt = 1;
    ClaimState state = ClaimState::Claimed;
    int httpStatus = 0;
    UnixMillis writtenAt = 0;

    bool operator==(const ClaimRecord &) const = default;

    /** @return an upper estimate of the encoded size in bytes. */
    std::size_t encodedBytes() const
    {
        constexpr std::size_t kFixedBytes = 56;
        return kFixedBytes + keyHash.size() + holder.value.size();
    }
};

/** An immutable object with records that left the open object. */
struct ClaimSegmentRef
{
    std::string name;
    UnixMillis newest = 0;
    std::uint32_t records = 0;

    bool operator==(const ClaimSegmentRef &) const = default;
};

/** The contents of the object `claims/<shard>`. */
struct ClaimShardData
{
    /** Of the last write, so that a writer recognises its own after a lost answer. */
    std::uint64_t batchId = 0;
    std::vector<ClaimRecord> open;
    /** Oldest first. */
    std::vector<ClaimSegmentRef> segments;
    std::uint64_t nextSegment = 0;

    bool operator==(const ClaimShardData &) const = default;
};

/** Both clocks at the time of an event; the wall clock only serves retention. */
struct ClaimTime
{
    TimePoint now;
    UnixMillis wall = 0;
};

} // namespace hawthornslip
