#pragma once

#include "modules/claims/claim_events.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace hawthornslip {

/** Times and bounds of a ClaimHolder. */
struct ClaimHolderOptions
{
    /** First wait before a message is repeated; doubles up to the longest. */
    Duration firstRepeat = milliseconds(250);
    Duration longestRepeat = seconds(4);
    /** New claims are refused above this number of claims without a stored outcome. */
    std::size_t maxHeld = 20'000;
    /** Withdrawn claims that are remembered; at 100 bytes each about 2 MB. */
    std::size_t maxWithdrawn = 20'000;
};

/** A claim as its holder knows it. */
struct HeldClaim
{
    std::uint32_t shard = 0;
    std::uint64_t claimId = 0;
    std::string keyHash;
    std::uint64_t bodyHash = 0;
};

/** Send the claim to the owner of its shard. */
struct SendClaim
{
    HeldClaim claim;
};

/** Send the outcome to the owner of the claim's shard. */
struct SendOutcome
{
    HeldClaim claim;
    ClaimState state = ClaimState::NotRun;
    int httpStatus = 0;
};

/** Answer the request path; emitted exactly once for each claim. */
struct AnswerClaim
{
    std::uint64_t claimId = 0;
    ClaimVerdict verdict = ClaimVerdict::StoreUnavailable;
    NodeId holder;
    int httpStatus = 0;
};

using ClaimHolderAction = std::variant<SendClaim, SendOutcome, AnswerClaim>;
using ClaimHolderActions = std::vector<ClaimHolderAction>;

/**
 * The asking node's side of claims: repeats claims until they are answered or time out, and
 * outcomes until they are stored.
 *
 * A claim is granted to the request path at most once, and only while the path still waits for it.
 * A claim that was not granted in time is withdrawn for good: its request is never sent, and
 * `not_run` is reported when the claim may have been stored.
 */
class ClaimHolder
{
public:
    explicit ClaimHolder(ClaimHolderOptions options = {});

    /** Starts a claim; its id must not have been used before. */
    ClaimHolderActions claim(const HeldClaim &claim, TimePoint deadline, TimePoint now);

    /** Takes an owner's answer. */
    ClaimHolderActions replied(const SendClaimReply &reply, TimePoint now);

    /** Takes the outcome of a granted claim from the request path. */
    ClaimHolderActions record(std::uint64_t claimId, ClaimState state, int httpStatus,
                              TimePoint now);

    /** Takes an owner's message that the outcome is stored. */
    void outcomeStored(std::uint64_t claimId);

    /** Repeats everything at once, after the owners changed. */
    ClaimHolderActions ownersChanged(TimePoint now);

    /** Repeats what is due and withdraws claims whose deadline passed. */
    ClaimHolderActions wake(TimePoint now);

    /** @return the time at which wake() is needed next, or nothing. */
    std::optional<TimePoint> nextWake() const;

    /** @return what this node knows of its claim @p claimId. */
    HolderView view(std::uint64_t claimId) const;

    /** @return claims without a stored outcome. */
    std::size_t heldCount() const { return m_held.size(); }

private:
    enum class Phase { Asking, Granted, Reporting };

    struct Held
    {
        HeldClaim claim;
        Phase phase = Phase::Asking;
        TimePoint deadline;
        TimePoint repeatAt;
        Duration wait{0};
        int sent = 0;
        ClaimState state = ClaimState::Claimed;
        int httpStatus = 0;
    };

    void send(Held &held, TimePoint now, ClaimHolderActions &actions);
    void report(Held &held, ClaimState state, int httpStatus, TimePoint now,
                ClaimHolderActions &actions);
    void remember(const HeldClaim &claim);
    ClaimHolderActions grantedLate(std::uint64_t claimId, TimePoint now);

    ClaimHolderOptions m_options;
    std::map<std::uint64_t, Held> m_held;
    /** Claims whose request was certainly never sent, for late grants and questions. */
    std::unordered_map<std::uint64_t, HeldClaim> m_withdrawn;
    std::deque<std::uint64_t> m_withdrawnOrder;
};

} // namespace hawthornslip
