#include "modules/queueing/admission.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// Work that an engine may have before it when a request is sent: what is sent cannot be overtaken.
constexpr Duration kLeastAhead = milliseconds(100);
constexpr int kAheadPart = 6;
// Part of its objective that a request is held at most; the rest is for its answer.
constexpr int kHoldPart = 2;
// Shared prompts from this size on take an engine as long to read as a dialogue takes in all.
constexpr std::uint32_t kLargeShared = 2000;
// Part of its objective that a request waits for an engine that keeps its shared prompt.
constexpr int kHomeHoldPart = 4;

bool hasRoom(const Demand &demand, const Placement &placement, const CallerWait &wait)
{
    const Duration ahead = std::max<Duration>(kLeastAhead, wait.objective / kAheadPart);
    if (placement.isFull || placement.wait > ahead)
        return false;
    // A slot elsewhere is left for a while to those whose shared prompt is kept there.
    const bool isElsewhere =
            placement.homeRank == ServiceBalancer::kHomes && demand.sharedTokens > kLargeShared;
    return !isElsewhere || wait.held >= wait.objective / kHomeHoldPart;
}

bool isTooLate(const Placement &placement, const CallerWait &wait)
{
    const Duration first = wait.before + wait.held + placement.wait + placement.read;
    // A request that is late already is tried, but not held: its caller does better elsewhere.
    return first > wait.objective || wait.held > wait.objective / kHoldPart;
}

} // namespace

Admission decideAdmission(const Demand &demand, const Placement &placement, const CallerWait &wait,
                          bool lessUrgentSent)
{
    if (hasRoom(demand, placement, wait))
        return Admission::Send;
    if (!isTooLate(placement, wait))
        return Admission::Hold;
    // While less urgent requests are let in, this one is not refused on an estimate: it goes first
    // at the engine, and the estimate then keeps the others out.
    const bool goesFirst = demand.ownTokens > 0 && wait.before < wait.objective && lessUrgentSent;
    return goesFirst ? Admission::Send : Admission::Refuse;
}

} // namespace hawthornslip
