#include "modules/balancing/service_balancer.h"
#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hawthornslip {

namespace {

// What a running request adds to the choice, so that equal waits go to the emptier upstream.
constexpr double kRunningSeconds = 0.001;
// Part of an engine's slots that dialogues fill on average; the rest takes their swings.
constexpr double kDialogueFill = 0.8;
constexpr double kReservedSlots = 0.125;
// Reading a shared prompt once more takes an engine's time from everyone, not only from this
// request, so it weighs more than its own time.
constexpr double kRereadWeight = 6;
// Reading fewer tokens takes an engine less time than a copy takes to be set up.
constexpr std::uint32_t kLeastCopied = 400;
// A long prompt that comes among dialogues, as on an engine that has just changed sides, makes each
// of them late; it rather waits at another engine.
constexpr double kDisturbedSeconds = 0.15;
constexpr double kMostDisturbed = 1.5;
// Long prompts that an engine has, as after it changed sides, may still be read, or be read again
// when a dialogue takes their slot: a dialogue among them gets late pauses.
constexpr double kBehindSeconds = 0.02;
constexpr double kMostBehind = 0.3;
// A dialogue that goes among long prompts gets its first event soon and late pauses after it.
constexpr double kSensitiveOutside = 0.5;
// Upstreams at random that a node compares beside the preferred ones.
constexpr std::size_t kCompared = 4;

} // namespace

std::optional<Placement>
ServiceBalancer::place(const Demand &demand, const std::vector<UpstreamId> &excluded, TimePoint now)
{
    Search search{demand, excluded, now, engineRange(demand, now)};
    search.homes = homesOf(demand, search.range, now);
    const Choice best = choose(search);
    if (best.state == nullptr)
        return std::nullopt;
    Placement placement;
    placement.upstream = best.state->entry;
    placement.level = demand.level;
    placement.tolerance = demand.tolerance;
    placement.homeRank = rankOf(*best.state, search.homes);
    placement.tokens = demand.ownTokens + rereadPart(placement.homeRank) * demand.sharedTokens;
    placement.wait = best.state->prefill.wait(demand.level, now);
    placement.read = best.state->prefill.readTime(placement.tokens);
    placement.isOutside = best.isOutside;
    placement.isFull = best.isFull;
    placement.fullPart = fullPartOf(search.range, demand);
    placement.promptSource = sourceFor(*best.state, search);
    return placement;
}

ServiceBalancer::Choice ServiceBalancer::choose(const Search &search)
{
    Choice best;
    for (const auto *it : search.homes) {
        if (it != nullptr)
            consider(best, *it, search);
    }
    // What is known of the others is up to a report old. Nodes that all picked the best of them
    // would send their next requests to the same one, so each compares a few at random.
    const std::size_t inRange = search.range.last - search.range.first;
    for (std::size_t i = 0; i < kCompared && inRange > 0; ++i) {
        const std::size_t place = search.range.first + m_random() % inRange;
        consider(best, m_states.at(m_order[place]), search);
    }
    if (best.state == nullptr || best.isAvoided || best.isFull) {
        for (const auto &id : m_order)
            consider(best, m_states.at(id), search);
    }
    return best;
}

void ServiceBalancer::consider(Choice &best, const State &state, const Search &search)
{
    const auto &excluded = search.excluded;
    if (std::find(excluded.begin(), excluded.end(), state.entry.id) != excluded.end())
        return;
    Choice choice;
    choice.state = &state;
    choice.isAvoided = search.now < state.avoidUntil;
    choice.isOutside = state.place < search.range.first || state.place >= search.range.last;
    // A long prompt rather waits than goes among dialogues.
    const bool isBarred = choice.isOutside && search.demand.tolerance == PauseTolerance::Tolerant;
    choice.isFull = isBarred || isFullFor(state, search.demand);
    choice.cost = costOf(state, search) + (choice.isOutside ? kSensitiveOutside : 0);
    if (best.state == nullptr || std::tie(choice.isAvoided, choice.isFull, choice.cost) <
                                         std::tie(best.isAvoided, best.isFull, best.cost))
        best = choice;
}

std::string ServiceBalancer::sourceFor(const State &chosen, const Search &search)
{
    if (search.demand.sharedTokens < kLeastCopied)
        return {};
    const auto &homes = search.homes;
    const State *source = homes[0] == &chosen ? homes[1] : homes[0];
    return source == nullptr ? std::string() : source->entry.address;
}

double ServiceBalancer::costOf(const State &state, const Search &search)
{
    const Demand &demand = search.demand;
    const double running = runningOf(state);
    double cost =
            toSeconds(state.prefill.wait(demand.level, search.now)) + kRunningSeconds * running;
    if (demand.tolerance == PauseTolerance::Tolerant)
        cost += std::min(kMostDisturbed, kDisturbedSeconds * sensitiveOf(state));
    else
        cost += std::min(kMostBehind, kBehindSeconds * (running - sensitiveOf(state)));
    const double reread = kRereadWeight * rereadPart(rankOf(state, search.homes));
    return cost + reread * toSeconds(state.prefill.readTime(demand.sharedTokens));
}

double ServiceBalancer::runningOf(const State &state)
{
    return static_cast<double>(state.running) +
           static_cast<double>(std::max<std::int64_t>(0, state.peers.running));
}

double ServiceBalancer::sensitiveOf(const State &state)
{
    return static_cast<double>(state.sensitive) +
           static_cast<double>(std::max<std::int64_t>(0, state.peers.sensitive));
}

bool ServiceBalancer::isFullFor(const State &state, const Demand &demand)
{
    if (demand.ownTokens == 0)
        return false;
    const double slots = state.entry.slots;
    // An urgent request that finds no slot makes the engine drop a less urgent one, whose prompt is
    // then read again; so those that can wait leave a few slots free.
    const double reserve = demand.tolerance == PauseTolerance::Tolerant
                                   ? std::max(1.0, slots * kReservedSlots)
                                   : 0;
    return runningOf(state) >= slots - reserve;
}

double ServiceBalancer::fullPartOf(Range range, const Demand &demand) const
{
    double full = 0;
    for (std::size_t i = range.first; i < range.last; ++i)
        full += isFullFor(m_states.at(m_order[i]), demand) ? 1 : 0;
    return range.last > range.first ? full / static_cast<double>(range.last - range.first) : 0;
}

ServiceBalancer::Range ServiceBalancer::engineRange(const Demand &demand, TimePoint now)
{
    const std::size_t n = m_order.size();
    const std::size_t tolerant = m_partition.tolerantEngines(n, enginesOfDialogues(), now);
    if (demand.tolerance == PauseTolerance::Tolerant)
        return tolerant == 0 ? Range{0, n} : Range{0, tolerant};
    return tolerant == n ? Range{0, n} : Range{tolerant, n};
}

double ServiceBalancer::enginesOfDialogues() const
{
    double needed = 0;
    for (const auto &id : m_order) {
        const State &state = m_states.at(id);
        needed += sensitiveOf(state) / (kDialogueFill * std::max(1U, state.entry.slots));
    }
    return needed;
}

ServiceBalancer::Homes ServiceBalancer::homesOf(const Demand &demand, Range range,
                                                TimePoint now) const
{
    Homes homes{};
    if (demand.affinityKey == 0)
        return homes;
    std::array<std::uint64_t, kHomes> weights{};
    for (std::size_t i = range.first; i < range.last; ++i) {
        const State *state = &m_states.at(m_order[i]);
        if (now < state->avoidUntil)
            continue;
        std::uint64_t weight = rendezvousWeight(demand.affinityKey, state->hash);
        for (std::size_t rank = 0; rank < kHomes && state != nullptr; ++rank) {
            if (homes[rank] != nullptr && weight <= weights[rank])
                continue;
            std::swap(homes[rank], state);
            std::swap(weights[rank], weight);
        }
    }
    return homes;
}

std::size_t ServiceBalancer::rankOf(const State &state, const Homes &homes)
{
    return static_cast<std::size_t>(std::find(homes.begin(), homes.end(), &state) - homes.begin());
}

double ServiceBalancer::rereadPart(std::size_t homeRank)
{
    return static_cast<double>(homeRank) / static_cast<double>(kHomes);
}

} // namespace hawthornslip
