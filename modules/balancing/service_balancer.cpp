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
// A request that finds all slots taken waits for one of many to end.
constexpr double kFullSeconds = 1;
// Reading a shared prompt once more takes an engine's time from everyone, not only from this
// request, so it weighs more than its own time.
constexpr double kRereadWeight = 4;
constexpr double kThirdHomeWeight = 6;
// A long prompt that comes among dialogues, as on an engine that has just changed sides, makes each
// of them late; it rather waits at another engine.
constexpr double kDisturbedSeconds = 0.15;
constexpr double kMostDisturbed = 1.5;
// A dialogue that goes among long prompts gets its first event soon and late pauses after it.
constexpr double kSensitiveOutside = 0.5;
// A long prompt among dialogues makes all of them late.
constexpr double kTolerantOutside = 100;

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
    const double outsideCost =
            demand.tolerance == PauseTolerance::Tolerant ? kTolerantOutside : kSensitiveOutside;
    const State *best = nullptr;
    bool bestAvoided = true;
    bool bestOutside = false;
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
        const double cost = costOf(state, demand, homes, now) + (outside ? outsideCost : 0);
        if (best != nullptr && std::tie(avoided, cost) >= std::tie(bestAvoided, least))
            continue;
        best = &state;
        least = cost;
        bestAvoided = avoided;
        bestOutside = outside;
    }
    if (best == nullptr)
        return std::nullopt;
    const bool home = best == homes.first;
    const double tokens = demand.ownTokens + (home ? 0 : demand.sharedTokens);
    return Placement{best->entry,
                     demand.level,
                     best->prefill.wait(demand.level, now),
                     best->prefill.readTime(tokens),
                     tokens,
                     bestOutside,
                     demand.tolerance};
}

double ServiceBalancer::costOf(const State &state, const Demand &demand, const Homes &homes,
                               TimePoint now) const
{
    const auto running = static_cast<double>(state.running) +
                         static_cast<double>(std::max<std::int64_t>(0, state.peersRunning));
    double cost = toSeconds(state.prefill.wait(demand.level, now)) + kRunningSeconds * running;
    if (running >= state.entry.slots)
        cost += kFullSeconds * (1 + running - state.entry.slots);
    if (demand.tolerance == PauseTolerance::Tolerant) {
        const auto sensitive = static_cast<double>(state.sensitive) +
                               static_cast<double>(std::max<std::int64_t>(0, state.peersSensitive));
        cost += std::min(kMostDisturbed, kDisturbedSeconds * sensitive);
    }
    if (&state == homes.first)
        return cost;
    const double weight = &state == homes.second ? kRereadWeight : kThirdHomeWeight;
    return cost + weight * toSeconds(state.prefill.readTime(demand.sharedTokens));
}

ServiceBalancer::Range ServiceBalancer::engineRange(const Demand &demand)
{
    const std::size_t n = m_order.size();
    const std::size_t tolerant = m_partition.tolerantEngines(n);
    if (demand.tolerance == PauseTolerance::Tolerant)
        return tolerant == 0 ? Range{0, n} : Range{0, tolerant};
    return tolerant == n ? Range{0, n} : Range{tolerant, n};
}

ServiceBalancer::Homes ServiceBalancer::homesOf(const Demand &demand, Range range,
                                                TimePoint now) const
{
    Homes homes;
    if (demand.affinityKey == 0)
        return homes;
    std::uint64_t highest = 0;
    std::uint64_t next = 0;
    for (std::size_t i = range.first; i < range.last; ++i) {
        const State &state = m_states.at(m_order[i]);
        if (now < state.avoidUntil)
            continue;
        const std::uint64_t weight = rendezvousWeight(demand.affinityKey, state.hash);
        if (homes.first == nullptr || weight > highest) {
            homes.second = std::exchange(homes.first, &state);
            next = std::exchange(highest, weight);
        } else if (homes.second == nullptr || weight > next) {
            homes.second = &state;
            next = weight;
        }
    }
    return homes;
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
    const auto it = m_states.find(placement.upstream.id);
    if (it != m_states.end() && placement.wait < kIdleWait)
        it->second.prefill.observe(placement.tokens, took);
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
    const auto it = m_byHash.find(change.upstream);
    if (it == m_byHash.end())
        return;
    auto &state = m_states.at(it->second);
    state.peersRunning += change.running;
    state.peersSensitive += change.sensitive;
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
