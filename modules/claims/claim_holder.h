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

/** Timeouts and limits of a ClaimHolder. */
struct ClaimHolderOptions
{
    /** Delay before the first retransmission; doubles up to @c maxRetransmitDelay. */
    Duration initialRetransmitDelay = milliseconds(250);
    Duration maxRetransmitDelay = seconds(4);
    /** New claims are refused while this many claims have no stored outcome. */
    std::size_t maxHeld = 20'000;
    /** Limit of remembered withdrawn claims; about 2 MB at 100 bytes each. */
    std::size_t maxWithdrawn = 20'000;
};

/** Identity of a claim on the node that holds it. */
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

/** Pass the verdict to the request path; emitted exactly once per claim. */
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
 * Client side of claims: retransmits claims until they are answered or time out, and outcomes
 * until they are acknowledged as stored.
 *
 * A claim is granted to the request path at most once, and only before its deadline. A claim that
 * was not granted in time is withdrawn permanently: its request is never sent, and `not_run` is
 * reported when the claim may have been stored.
 */
class ClaimHolder
{
public:
    explicit ClaimHolder(ClaimHolderOptions options = {});

    /** Starts a claim. Claim ids must be unique. */
    ClaimHolderActions claim(const HeldClaim &claim, TimePoint deadline, TimePoint now);

    /** Handles the reply of the shard's owner. */
    ClaimHolderActions replied(const SendClaimReply &reply, TimePoint now);

    /** Records the outcome of a granted claim and reports it to the shard's owner. */
    ClaimHolderActions record(std::uint64_t claimId, ClaimState state, int httpStatus,
                              TimePoint now);

    /** Handles the acknowledgement that the outcome is stored. */
    void outcomeStored(std::uint64_t claimId);

    /** Retransmits all unacknowledged messages at once after shard owners changed. */
    ClaimHolderActions ownersChanged(TimePoint now);

    /** Sends due retransmissions and withdraws claims whose deadline has passed. */
    ClaimHolderActions wake(TimePoint now);

    /** @return the time of the next required wake(), or nothing when no timer is needed. */
    std::optional<TimePoint> nextWake() const;

    /** @return the state of this node's claim @p claimId. */
    HolderView view(std::uint64_t claimId) const;

    /** @return the number of claims without a stored outcome. */
    std::size_t heldCount() const { return m_held.size(); }

private:
    enum class Phase { Requesting, Granted, Reporting };

    struct Held
    {
        HeldClaim claim;
        Phase phase = Phase::Requesting;
        TimePoint deadline;
        TimePoint retransmitAt;
        Duration retransmitDelay{0};
        int sendCount = 0;
        ClaimState state = ClaimState::Claimed;
        int httpStatus = 0;
    };

    void send(Held &held, TimePoint now, ClaimHolderActions &actions);
    void report(Held &held, ClaimState state, int httpStatus, TimePoint now,
                ClaimHolderActions &actions);
    void rememberWithdrawn(const HeldClaim &claim);
    ClaimHolderActions withdrawLateGrant(std::uint64_t claimId, TimePoint now);

    ClaimHolderOptions m_options;
    std::map<std::uint64_t, Held> m_held;
    /** Claims whose request was never sent, kept to answer late grants and holder queries. */
    std::unordered_map<std::uint64_t, HeldClaim> m_withdrawn;
    /** Claim ids of m_withdrawn, oldest first, for eviction. */
    std::deque<std::uint64_t> m_withdrawnOrder;
};

} // namespace hawthornslip
