#include "modules/queueing/admission.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// Work that an engine may have before it when a request is sent: what is sent cannot be overtaken,
// and the prompts of a longer queue, read one after the other, make the dialogues beside pause.
constexpr Duration kMaxPrefillWait = milliseconds(100);
// Part of its objective that a request may have before it where no dialogues are.
constexpr int kTolerantPrefillWaitDivisor = 6;
// Part of its objective that a request is held at most; the rest is for its answer.
constexpr int kMaxHoldDivisor = 2;
// Shared prompts from this size on take an engine as long to read as a dialogue takes in all.
constexpr std::uint32_t kLargeSharedPromptTokens = 2000;
// Part of its objective that a request waits for an engine that keeps its shared prompt.
constexpr double kPreferredUpstreamHold = 0.25;
// The same while slots are scarce: all of them find a request soon, and those that find one whose
// prompt is kept serve more. It ends before the request is held for too long.
constexpr double kScarcePreferredUpstreamHold = 0.4;
// Part of the engines without a slot from which on slots are scarce.
constexpr double kScarceFullFraction = 0.5;

bool areSlotsScarce(const Placement &placement)
{
    return placement.fullPart > kScarceFullFraction;
}

/** @return how long a request waits for a home of its shared prompt before it takes the placement.
 */
Duration preferredUpstreamHold(const Demand &demand, const Placement &placement, Duration objective)
{
    if (demand.sharedTokens < kLargeSharedPromptTokens)
        return Duration(0);
    const double rankFraction =
            static_cast<double>(placement.homeRank) / static_cast<double>(ServiceBalancer::kHomes);
    const bool isPreferred = placement.homeRank < ServiceBalancer::kHomes;
    double holdFraction = isPreferred ? 0 : kPreferredUpstreamHold;
    if (areSlotsScarce(placement))
        holdFraction = kScarcePreferredUpstreamHold * rankFraction;
    return std::chrono::duration_cast<Duration>(holdFraction * objective);
}

bool hasRoom(const Demand &demand, const Placement &placement, const CallerWait &wait)
{
    const Duration maxWait =
            demand.tolerance == PauseTolerance::Tolerant
                    ? std::max<Duration>(kMaxPrefillWait,
                                         wait.objective / kTolerantPrefillWaitDivisor)
                    : kMaxPrefillWait;
    return !placement.isFull && placement.wait <= maxWait;
}

bool isTooLate(const Placement &placement, const CallerWait &wait)
{
    const Duration timeToFirstEvent =
            wait.spentBefore + wait.heldFor + placement.wait + placement.read;
    // A request that is late already is tried, but not held: its caller does better elsewhere.
    return timeToFirstEvent > wait.objective || wait.heldFor > wait.objective / kMaxHoldDivisor;
}

} // namespace

AdmissionDecision decideAdmission(const Demand &demand, const Placement &placement,
                                  const CallerWait &wait, bool lessUrgentSent)
{
    const bool roomAvailable = hasRoom(demand, placement, wait);
    // A slot elsewhere is left for a while to those whose shared prompt is kept there.
    if (roomAvailable && wait.heldFor >= preferredUpstreamHold(demand, placement, wait.objective))
        return AdmissionDecision::Send;
    if (!isTooLate(placement, wait))
        return AdmissionDecision::Hold;
    // It cannot wait for its home.
    if (roomAvailable && !areSlotsScarce(placement))
        return AdmissionDecision::Send;
    // While less urgent requests are let in, this one is not refused on an estimate: it goes first
    // at the engine, and the estimate then keeps the others out.
    const bool hasPrecedence =
            demand.ownTokens > 0 && wait.spentBefore < wait.objective && lessUrgentSent;
    return hasPrecedence ? AdmissionDecision::Send : AdmissionDecision::Refuse;
}

} // namespace hawthornslip
