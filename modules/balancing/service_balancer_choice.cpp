#include "modules/balancing/service_balancer.h"
#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hawthornslip {

namespace {

// Cost of each running request, so that among equal waits the less loaded upstream is chosen.
constexpr double kRunningPenaltySeconds = 0.001;
// Fraction of an engine's slots that sensitive requests fill on average; the rest absorbs peaks.
constexpr double kSensitiveSlotUse = 0.8;
constexpr double kReservedSlotFraction = 0.125;
// Weight of the time to prefill a shared prefix that is not cached: it delays all requests of the
// engine, not only this one.
constexpr double kPrefixMissWeight = 6;
// Prefilling fewer tokens takes less time than setting up a KV cache copy.
constexpr std::uint32_t kMinCopiedTokens = 400;
// Cost for a tolerant request of each sensitive request on the engine, for example after the
// partition boundary moved. Its prefill would delay all of them, so it waits elsewhere instead.
constexpr double kSensitivePenaltySeconds = 0.15;
constexpr double kMaxSensitivePenaltySeconds = 1.5;
// Cost for a sensitive request of each tolerant request on the engine, for example after the
// partition boundary moved. Their prompts may still be prefilled, or be prefilled again after a
// sensitive request takes their slot, which causes long pauses between its tokens.
constexpr double kTolerantPenaltySeconds = 0.02;
constexpr double kMaxTolerantPenaltySeconds = 0.3;
// Cost of an engine outside the partition: a sensitive request among tolerant ones gets its first
// event soon, but then long pauses between its tokens.
constexpr double kOutsidePartitionPenaltySeconds = 0.5;
// Random upstreams that are compared in addition to the preferred ones.
constexpr std::size_t kRandomCandidates = 4;

} // namespace

std::optional<RequestPlacement> ServiceBalancer::place(const RequestDemand &demand,
                                                       const std::vector<UpstreamId> &excluded,
                                                       TimePoint now)
{
    Query query{demand, excluded, now, engineRange(demand, now), m_share.value(now)};
    query.preferred = preferredUpstreams(demand, query.range, now);
    const Candidate best = choose(query);
    if (best.state == nullptr)
        return std::nullopt;
    RequestPlacement placement;
    placement.upstream = best.state->entry;
    placement.urgency = demand.urgency;
    placement.tolerance = demand.tolerance;
    placement.preferenceRank = preferenceRankOf(*best.state, query.preferred);
    placement.prefillTokens =
            demand.ownTokens + expectedMissFraction(placement.preferenceRank) * demand.sharedTokens;
    placement.wait = std::max(best.permitWait, best.state->prefill.wait(demand.urgency, now));
    placement.tokensBefore = best.state->prefill.tokensBefore(demand.urgency, now);
    placement.prefillTime = best.state->prefill.timeToPrefill(placement.prefillTokens);
    placement.occupancy = runningRequests(*best.state) / std::max(1U, best.state->entry.slots);
    placement.isOutsidePartition = best.isOutsidePartition;
    placement.isFull = best.isFull;
    placement.isOverLimit = best.permitWait > Duration(0);
    placement.fullFraction = fullFractionOf(query.range, demand);
    placement.kvSourceAddress = kvSourceFor(*best.state, query);
    return placement;
}

ServiceBalancer::Candidate ServiceBalancer::choose(const Query &query)
{
    Candidate best;
    for (const auto *it : query.preferred) {
        if (it != nullptr)
            consider(best, *it, query);
    }
    // The known load of peers is up to one report interval old. If all nodes picked the best
    // upstream, their next requests would go to the same one, so each node samples a few.
    const std::size_t enginesInRange = query.range.last - query.range.first;
    for (std::size_t i = 0; i < kRandomCandidates && enginesInRange > 0; ++i) {
        const std::size_t position = query.range.first + m_random() % enginesInRange;
        consider(best, m_states.at(m_order[position]), query);
    }
    if (best.state == nullptr || best.isAvoided || best.isFull) {
        for (const auto &id : m_order)
            consider(best, m_states.at(id), query);
    }
    return best;
}

void ServiceBalancer::consider(Candidate &best, const State &state, const Query &query)
{
    const auto &excluded = query.excluded;
    if (std::find(excluded.begin(), excluded.end(), state.entry.id) != excluded.end())
        return;
    const auto &version = query.demand.softwareVersion;
    if (version && state.entry.softwareVersion != *version)
        return;
    Candidate candidate;
    candidate.state = &state;
    candidate.isAvoided = query.now < state.avoidUntil;
    candidate.isOutsidePartition =
            state.position < query.range.first || state.position >= query.range.last;
    // A tolerant request waits rather than run among sensitive ones.
    // Of one version there may be no engine inside.
    const bool isExcludedByPartition = candidate.isOutsidePartition && !version &&
                                       query.demand.tolerance == PauseTolerance::Tolerant;
    if (state.permits)
        candidate.permitWait = state.permits->wait(query.share, query.now);
    candidate.isFull = isExcludedByPartition || isFullFor(state, query.demand) ||
                       candidate.permitWait > Duration(0);
    candidate.cost = costOf(state, query) + toSeconds(candidate.permitWait) +
                     (candidate.isOutsidePartition ? kOutsidePartitionPenaltySeconds : 0);
    if (best.state == nullptr || std::tie(candidate.isAvoided, candidate.isFull, candidate.cost) <
                                         std::tie(best.isAvoided, best.isFull, best.cost))
        best = candidate;
}

std::string ServiceBalancer::kvSourceFor(const State &chosen, const Query &query)
{
    if (query.demand.sharedTokens < kMinCopiedTokens)
        return {};
    const auto &preferred = query.preferred;
    const State *source = preferred[0] == &chosen ? preferred[1] : preferred[0];
    return source == nullptr ? std::string() : source->entry.address;
}

double ServiceBalancer::costOf(const State &state, const Query &query)
{
    const RequestDemand &demand = query.demand;
    const double running = runningRequests(state);
    double cost = toSeconds(state.prefill.wait(demand.urgency, query.now)) +
                  kRunningPenaltySeconds * running * state.slowness;
    // How much longer the rest of the prompt takes than at an engine of the usual speed.
    cost += (1 - 1 / state.slowness) * toSeconds(state.prefill.timeToPrefill(demand.ownTokens));
    if (demand.tolerance == PauseTolerance::Tolerant)
        cost += std::min(kMaxSensitivePenaltySeconds,
                         kSensitivePenaltySeconds * sensitiveRequests(state));
    else
        cost += std::min(kMaxTolerantPenaltySeconds,
                         kTolerantPenaltySeconds * (running - sensitiveRequests(state)));
    const double missWeight =
            kPrefixMissWeight * expectedMissFraction(preferenceRankOf(state, query.preferred));
    return cost + missWeight * toSeconds(state.prefill.timeToPrefill(demand.sharedTokens));
}

double ServiceBalancer::runningRequests(const State &state)
{
    return static_cast<double>(state.running) +
           static_cast<double>(std::max<std::int64_t>(0, state.peers.running));
}

double ServiceBalancer::sensitiveRequests(const State &state)
{
    return static_cast<double>(state.sensitive) +
           static_cast<double>(std::max<std::int64_t>(0, state.peers.sensitive));
}

bool ServiceBalancer::isFullFor(const State &state, const RequestDemand &demand)
{
    if (demand.ownTokens == 0)
        return false;
    const double slots = state.entry.slots;
    // An urgent request that finds no free slot makes the engine preempt a less urgent one, whose
    // prompt is then prefilled again; so tolerant requests leave a few slots free.
    const double reserve = demand.tolerance == PauseTolerance::Tolerant
                                   ? std::max(1.0, slots * kReservedSlotFraction)
                                   : 0;
    return runningRequests(state) >= slots - reserve;
}

double ServiceBalancer::fullFractionOf(Range range, const RequestDemand &demand) const
{
    double full = 0;
    for (std::size_t i = range.first; i < range.last; ++i)
        full += isFullFor(m_states.at(m_order[i]), demand) ? 1 : 0;
    return range.last > range.first ? full / static_cast<double>(range.last - range.first) : 0;
}

ServiceBalancer::Range ServiceBalancer::engineRange(const RequestDemand &demand, TimePoint now)
{
    const std::size_t n = m_order.size();
    const std::size_t tolerant =
            m_partition.tolerantEngines(n, requestLimits(), enginesForSensitive(), now);
    if (demand.tolerance == PauseTolerance::Tolerant)
        return tolerant == 0 ? Range{0, n} : Range{0, tolerant};
    return tolerant == n ? Range{0, n} : Range{tolerant, n};
}

std::vector<double> ServiceBalancer::requestLimits() const
{
    std::vector<double> limits;
    for (const auto &id : m_order) {
        const auto &permits = m_states.at(id).permits;
        if (!permits)
            break;
        limits.push_back(permits->limit());
    }
    return limits;
}

double ServiceBalancer::enginesForSensitive() const
{
    double needed = 0;
    for (const auto &id : m_order) {
        const State &state = m_states.at(id);
        needed += sensitiveRequests(state) / (kSensitiveSlotUse * std::max(1U, state.entry.slots));
    }
    return needed;
}

ServiceBalancer::PreferredUpstreams
ServiceBalancer::preferredUpstreams(const RequestDemand &demand, Range range, TimePoint now) const
{
    PreferredUpstreams preferred{};
    if (demand.affinityKey == 0)
        return preferred;
    std::array<std::uint64_t, kPreferredCount> weights{};
    for (std::size_t i = range.first; i < range.last; ++i) {
        const State *state = &m_states.at(m_order[i]);
        if (now < state->avoidUntil)
            continue;
        std::uint64_t weight = rendezvousWeight(demand.affinityKey, state->hash);
        for (std::size_t rank = 0; rank < kPreferredCount && state != nullptr; ++rank) {
            if (preferred[rank] != nullptr && weight <= weights[rank])
                continue;
            std::swap(preferred[rank], state);
            std::swap(weights[rank], weight);
        }
    }
    return preferred;
}

std::size_t ServiceBalancer::preferenceRankOf(const State &state,
                                              const PreferredUpstreams &preferred)
{
    return static_cast<std::size_t>(std::find(preferred.begin(), preferred.end(), &state) -
                                    preferred.begin());
}

double ServiceBalancer::expectedMissFraction(std::size_t preferenceRank)
{
    return static_cast<double>(preferenceRank) / static_cast<double>(kPreferredCount);
}

} // namespace hawthornslip
