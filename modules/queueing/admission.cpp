#include "modules/queueing/admission.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// Longest wait for the prefill at an engine that a request is sent to: a sent request cannot be
// overtaken, and the consecutive prefills of a longer queue pause the dialogues on the same
// engine.
constexpr Duration kMaxPrefillWait = milliseconds(100);
// A request that tolerates pauses may wait longer, for its objective divided by this.
constexpr int kTolerantPrefillWaitDivisor = 6;
// A request is held for at most its objective divided by this; the rest is for its answer.
constexpr int kMaxHoldDivisor = 2;
// From this size on, the prefill of a shared prompt takes an engine as long as a whole dialogue.
constexpr std::uint32_t kLargeSharedPromptTokens = 2000;
// Fraction of its objective that a request is held for an engine that caches its shared prompt.
constexpr double kPreferredUpstreamHold = 0.25;
// The same while slots are scarce: every free slot is taken soon, and one that is taken by a
// request with a cached prompt serves more requests. Less than 1 / kMaxHoldDivisor, so that it
// ends before the request has been held for too long.
constexpr double kScarcePreferredUpstreamHold = 0.4;
// Slots are scarce when more than this fraction of the engines has no free slot.
constexpr double kScarceFullFraction = 0.5;

bool areSlotsScarce(const RequestPlacement &placement)
{
    return placement.fullFraction > kScarceFullFraction;
}

/** @return how long a request is held for a preferred upstream before @p placement is accepted. */
Duration preferredUpstreamHold(const RequestDemand &demand, const RequestPlacement &placement,
                               Duration objective)
{
    if (demand.sharedTokens < kLargeSharedPromptTokens)
        return Duration(0);
    const double rankFraction = static_cast<double>(placement.preferenceRank) /
                                static_cast<double>(ServiceBalancer::kPreferredCount);
    const bool isPreferred = placement.preferenceRank < ServiceBalancer::kPreferredCount;
    double holdFraction = isPreferred ? 0 : kPreferredUpstreamHold;
    if (areSlotsScarce(placement))
        holdFraction = kScarcePreferredUpstreamHold * rankFraction;
    return std::chrono::duration_cast<Duration>(holdFraction * objective);
}

bool isTooLate(const RequestPlacement &placement, const CallerWait &wait)
{
    const Duration timeToFirstEvent =
            wait.spentBefore + wait.heldFor + placement.wait + placement.prefillTime;
    // A request that is already late may be sent, but not held: a retry elsewhere is better.
    return timeToFirstEvent > wait.objective || wait.heldFor > wait.objective / kMaxHoldDivisor;
}

} // namespace

bool hasRoom(const RequestDemand &demand, const RequestPlacement &placement, const CallerWait &wait)
{
    const Duration maxWait =
            demand.tolerance == PauseTolerance::Tolerant
                    ? std::max<Duration>(kMaxPrefillWait,
                                         wait.objective / kTolerantPrefillWaitDivisor)
                    : kMaxPrefillWait;
    return !placement.isFull && !placement.isOverLimit && placement.wait <= maxWait;
}

AdmissionDecision decideAdmission(const RequestDemand &demand, const RequestPlacement &placement,
                                  const CallerWait &wait, bool lessUrgentSent)
{
    const bool roomAvailable = hasRoom(demand, placement, wait);
    // A slot at another upstream is left for a while to requests whose shared prompt is cached
    // there.
    if (roomAvailable && wait.heldFor >= preferredUpstreamHold(demand, placement, wait.objective))
        return AdmissionDecision::Send;
    if (!isTooLate(placement, wait))
        return AdmissionDecision::Hold;
    // It is too late to be held for a preferred upstream.
    if (roomAvailable && !areSlotsScarce(placement))
        return AdmissionDecision::Send;
    if (wait.hasBeginning && !placement.isFull && !placement.isOverLimit)
        return AdmissionDecision::Send;
    // While less urgent requests are sent, this one is not refused on an estimate, even if it is
    // late: the engine serves it first, and the estimate then holds back the others.
    const bool hasPrecedence = !placement.isOverLimit && demand.ownTokens > 0 && lessUrgentSent;
    return hasPrecedence ? AdmissionDecision::Send : AdmissionDecision::Refuse;
}

} // namespace hawthornslip
