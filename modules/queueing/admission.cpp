#include "modules/queueing/admission.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// Work that an engine may have before it when a request is sent: what is sent cannot be overtaken,
// and the prompts of a longer queue, read one after the other, make the dialogues beside pause.
constexpr Duration kLeastAhead = milliseconds(100);
// Part of its objective that a request may have before it where no dialogues are.
constexpr int kAheadPart = 6;
// Part of its objective that a request is held at most; the rest is for its answer.
constexpr int kHoldPart = 2;
// Shared prompts from this size on take an engine as long to read as a dialogue takes in all.
constexpr std::uint32_t kLargeShared = 2000;
// Part of its objective that a request waits for an engine that keeps its shared prompt.
constexpr double kHomeHold = 0.25;
// The same while slots are scarce: all of them find a request soon, and those that find one whose
// prompt is kept serve more. It ends before the request is held for too long.
constexpr double kScarceHomeHold = 0.4;
// Part of the engines without a slot from which on slots are scarce.
constexpr double kScarce = 0.5;

bool areSlotsScarce(const RequestPlacement &placement)
{
    return placement.fullFraction > kScarce;
}

/** @return how long a request waits for a home of its shared prompt before it takes the placement.
 */
Duration homePatience(const RequestDemand &demand, const RequestPlacement &placement,
                      Duration objective)
{
    if (demand.sharedTokens < kLargeShared)
        return Duration(0);
    const double away = static_cast<double>(placement.preferenceRank) /
                        static_cast<double>(ServiceBalancer::kPreferredCount);
    const bool isHome = placement.preferenceRank < ServiceBalancer::kPreferredCount;
    double part = isHome ? 0 : kHomeHold;
    if (areSlotsScarce(placement))
        part = kScarceHomeHold * away;
    return std::chrono::duration_cast<Duration>(part * objective);
}

bool hasRoom(const RequestDemand &demand, const RequestPlacement &placement, const CallerWait &wait)
{
    const Duration ahead = demand.tolerance == PauseTolerance::Tolerant
                                   ? std::max<Duration>(kLeastAhead, wait.objective / kAheadPart)
                                   : kLeastAhead;
    return !placement.isFull && placement.wait <= ahead;
}

bool isTooLate(const RequestPlacement &placement, const CallerWait &wait)
{
    const Duration first = wait.before + wait.held + placement.wait + placement.prefillTime;
    // A request that is late already is tried, but not held: its caller does better elsewhere.
    return first > wait.objective || wait.held > wait.objective / kHoldPart;
}

} // namespace

Admission decideAdmission(const RequestDemand &demand, const RequestPlacement &placement,
                          const CallerWait &wait, bool lessUrgentSent)
{
    const bool hasPlace = hasRoom(demand, placement, wait);
    // A slot elsewhere is left for a while to those whose shared prompt is kept there.
    if (hasPlace && wait.held >= homePatience(demand, placement, wait.objective))
        return Admission::Send;
    if (!isTooLate(placement, wait))
        return Admission::Hold;
    // It cannot wait for its home.
    if (hasPlace && !areSlotsScarce(placement))
        return Admission::Send;
    // While less urgent requests are let in, this one is not refused on an estimate: it goes first
    // at the engine, and the estimate then keeps the others out.
    const bool goesFirst = demand.ownTokens > 0 && wait.before < wait.objective && lessUrgentSent;
    return goesFirst ? Admission::Send : Admission::Refuse;
}

} // namespace hawthornslip
