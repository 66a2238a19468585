#include "modules/balancing/service_balancer.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>
#include <tuple>

namespace hawthornslip {

namespace {

// Failures in a row after which an upstream is avoided; single ones also come from the request.
constexpr std::uint32_t kFailuresInRow = 3;
constexpr Duration kAvoidFailed = seconds(2);
// A full upstream has room again as soon as a request ends.
constexpr Duration kAvoidFull = milliseconds(150);
constexpr Duration kAvoidUnreachable = seconds(1);
// What a running request adds to the choice, so that equal waits go to the emptier upstream.
constexpr double kRunningSeconds = 0.001;
// Part of an engine's slots that dialogues fill on average; the rest takes their swings.
constexpr double kDialogueFill = 0.7;
constexpr double kReservedSlots = 0.125;
// Reading a shared prompt once more takes an engine's time from everyone, not only from this
// request, so it weighs more than its own time.
constexpr double kRereadWeight = 6;
// A long prompt that comes among dialogues, as on an engine that has just changed sides, makes each
// of them late; it rather waits at another engine.
constexpr double kDisturbedSeconds = 0.15;
constexpr double kMostDisturbed = 1.5;
// A dialogue that goes among long prompts gets its first event soon and late pauses after it.
constexpr double kSensitiveOutside = 0.5;

} // namespace

void ServiceBalancer::setUpstreams(const std::vector<UpstreamEntry> &entries)
{
    for (auto &[id, state] : m_states)
        state.usable = false;
    m_order.clear();
    for (const auto &it : entries) {
        auto &state = m_states[it.id];
        if (state.entry.address != it.address)
            state = State{};
        state.entry = it;
        state.hash = rendezvousMember(it.id.value);
        const auto peers = m_peers.find(state.hash);
        state.peers = peers == m_peers.end() ? PeersRunning() : peers->second;
        state.usable = true;
        m_order.push_back(it.id);
    }
    std::sort(m_order.begin(), m_order.end(), [this](const auto &a, const auto &b) {
        return m_states.at(a).hash < m_states.at(b).hash;
    });
    std::erase_if(m_states,
                  [](const auto &it) { return !it.second.usable && it.second.running == 0; });
    m_byHash.clear();
    for (const auto &[id, state] : m_states)
        m_byHash.emplace(state.hash, id);
}

std::optional<Placement>
ServiceBalancer::place(const Demand &demand, const std::vector<UpstreamId> &excluded, TimePoint now)
{
    const Range range = engineRange(demand);
    const Homes homes = homesOf(demand, range, now);

    const State *best = nullptr;
    bool bestAvoided = true;
    bool bestOutside = false;
    bool bestFull = true;
    double least = 0;
    const std::size_t n = m_order.size();
    // Starts at another one each time, so that equal ones take turns.
    m_next = n == 0 ? 0 : (m_next + 1) % n;
    for (std::size_t i = 0; i < n; ++i) {
        const std::size_t place = (m_next + i) % n;
        const auto &id = m_order[place];
        if (std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            continue;
        const State &state = m_states.at(id);
        const bool avoided = now < state.avoidUntil;
        const bool outside = place < range.first || place >= range.last;
        // A long prompt rather waits than goes among dialogues.
        const bool barred = outside && demand.tolerance == PauseTolerance::Tolerant;
        const bool full = barred || isFullFor(state, demand);
        const double cost = costOf(state, demand, homes, now) + (outside ? kSensitiveOutside : 0);
        if (best != nullptr &&
            std::tie(avoided, full, cost) >= std::tie(bestAvoided, bestFull, least))
            continue;
        best = &state;
        least = cost;
        bestAvoided = avoided;
        bestOutside = outside;
        bestFull = full;
    }
    if (best == nullptr)
        return std::nullopt;
    const std::size_t rank = rankOf(*best, homes);
    const double tokens = demand.ownTokens + rereadPart(rank) * demand.sharedTokens;
    return Placement{best->entry,
                     demand.level,
                     best->prefill.wait(demand.level, now),
                     best->prefill.readTime(tokens),
                     tokens,
                     bestOutside,
                     rank,
                     bestFull,
                     demand.tolerance};
}

double ServiceBalancer::costOf(const State &state, const Demand &demand, const Homes &homes,
                               TimePoint now) const
{
    const double running = runningOf(state);
    double cost = toSeconds(state.prefill.wait(demand.level, now)) + kRunningSeconds * running;
    if (demand.tolerance == PauseTolerance::Tolerant)
        cost += std::min(kMostDisturbed, kDisturbedSeconds * sensitiveOf(state));
    const double reread = kRereadWeight * rereadPart(rankOf(state, homes));
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

ServiceBalancer::Range ServiceBalancer::engineRange(const Demand &demand)
{
    const std::size_t n = m_order.size();
    const std::size_t tolerant = m_partition.tolerantEngines(n, enginesOfDialogues());
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

void ServiceBalancer::onRequest(const Demand &demand, TimePoint now)
{
    if (demand.ownTokens == 0)
        return;
    m_partition.observe(demand.tolerance, demand.ownTokens, now);
    auto &counter = demand.tolerance == PauseTolerance::Tolerant ? m_demand.tolerantTokens
                                                                 : m_demand.sensitiveTokens;
    counter += demand.ownTokens;
}

void ServiceBalancer::onSent(const Placement &placement, TimePoint now)
{
    auto &state = m_states[placement.upstream.id];
    ++state.running;
    if (placement.tolerance == PauseTolerance::Sensitive)
        ++state.sensitive;
    state.isUsed = true;
    state.sentTokens[placement.level] += static_cast<std::uint64_t>(placement.tokens);
    state.prefill.add(placement.level, placement.tokens, now);
}

void ServiceBalancer::onFirstEvent(const Placement &placement, Duration took)
{
    // Only a prompt that found nothing before it tells the reading rate.
    constexpr Duration kIdleWait = milliseconds(10);
    if (placement.wait >= kIdleWait)
        return;
    m_rate.observe(placement.tokens, took);
    for (auto &[id, state] : m_states)
        state.prefill.setRate(m_rate.tokensPerSecond());
}

void ServiceBalancer::onEnded(const Placement &placement, AttemptVerdict verdict, TimePoint now)
{
    const auto it = m_states.find(placement.upstream.id);
    if (it == m_states.end())
        return;
    auto &state = it->second;
    state.running -= state.running > 0 ? 1 : 0;
    if (placement.tolerance == PauseTolerance::Sensitive)
        state.sensitive -= state.sensitive > 0 ? 1 : 0;
    switch (verdict) {
    case AttemptVerdict::Good:
        state.failuresInRow = 0;
        break;
    case AttemptVerdict::Full:
        state.avoidUntil = std::max(state.avoidUntil, now + kAvoidFull);
        break;
    case AttemptVerdict::Unreachable:
        state.avoidUntil = std::max(state.avoidUntil, now + kAvoidUnreachable);
        break;
    case AttemptVerdict::Failed:
        if (++state.failuresInRow >= kFailuresInRow)
            state.avoidUntil = now + kAvoidFailed;
        break;
    case AttemptVerdict::Neutral:
        break;
    }
    if (!state.usable && state.running == 0) {
        m_byHash.erase(state.hash);
        m_states.erase(it);
    }
}

std::vector<NodeLoad> ServiceBalancer::nodeLoads() const
{
    std::vector<NodeLoad> loads;
    for (const auto &[id, state] : m_states) {
        if (state.isUsed)
            loads.push_back({state.hash, state.running, state.sensitive, state.sentTokens});
    }
    return loads;
}

void ServiceBalancer::onPeerLoad(const LoadChange &change, TimePoint now)
{
    PeersRunning &sum = m_peers[change.upstream];
    sum.running += change.running;
    sum.sensitive += change.sensitive;
    const PeersRunning peers = sum;
    if (peers.running == 0 && peers.sensitive == 0)
        m_peers.erase(change.upstream);
    const auto it = m_byHash.find(change.upstream);
    if (it == m_byHash.end())
        return;
    auto &state = m_states.at(it->second);
    state.peers = peers;
    for (std::size_t level = 0; level < kUrgencyLevels; ++level) {
        if (change.promptTokens[level] > 0)
            state.prefill.add(level, static_cast<double>(change.promptTokens[level]), now);
    }
}

void ServiceBalancer::onPeerDemand(const NodeDemand &added, TimePoint now)
{
    m_partition.observe(PauseTolerance::Tolerant, static_cast<double>(added.tolerantTokens), now);
    m_partition.observe(PauseTolerance::Sensitive, static_cast<double>(added.sensitiveTokens), now);
}

} // namespace hawthornslip
