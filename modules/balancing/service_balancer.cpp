#include "modules/balancing/service_balancer.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>
#include <tuple>

namespace hawthornslip {

namespace {

// A running request takes about as much of an engine's step as this many tokens of a prompt.
constexpr double kRunningTokens = 400;
// Failures in a row after which an upstream is avoided; single ones also come from the request.
constexpr std::uint32_t kFailuresInRow = 3;
constexpr Duration kAvoidFailed = seconds(2);
// A full upstream has room again as soon as a request ends.
constexpr Duration kAvoidFull = milliseconds(150);
constexpr Duration kAvoidUnreachable = seconds(1);
constexpr double kGain = 0.2;
constexpr double kSlowest = 20;

} // namespace

void ServiceBalancer::setUpstreams(const std::vector<UpstreamEntry> &entries)
{
    for (auto &[id, state] : m_states)
        state.usable = false;
    m_order.clear();
    for (const auto &it : entries) {
        auto &state = m_states[it.id];
        if (state.entry.address != it.address)
            state.failuresInRow = 0;
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
}

const UpstreamEntry *ServiceBalancer::pick(const Demand &demand,
                                           const std::vector<UpstreamId> &excluded, TimePoint now)
{
    const State *home = demand.affinityKey != 0 ? preferred(demand, now) : nullptr;
    const State *best = nullptr;
    double least = 0;
    bool bestAvoided = true;
    bool bestOutside = true;
    const auto [first, last] = engineRange(demand);
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
        const double load = loadOf(state, demand, &state == home);
        const bool outside = place < first || place >= last;
        if (best != nullptr &&
            std::tie(avoided, outside, load) >= std::tie(bestAvoided, bestOutside, least))
            continue;
        best = &state;
        least = load;
        bestAvoided = avoided;
        bestOutside = outside;
    }
    return best == nullptr ? nullptr : &best->entry;
}

std::pair<std::size_t, std::size_t> ServiceBalancer::engineRange(const Demand &demand) const
{
    const std::size_t tolerant = m_partition.tolerantEngines(m_order.size());
    if (demand.tolerance == PauseTolerance::Tolerant)
        return {0, tolerant};
    return tolerant == m_order.size() ? std::pair<std::size_t, std::size_t>(0, tolerant)
                                      : std::pair(tolerant, m_order.size());
}

void ServiceBalancer::onRequest(const Demand &demand, TimePoint now)
{
    if (demand.ownTokens > 0)
        m_partition.observe(demand.tolerance, demand.ownTokens, now);
}

double ServiceBalancer::loadOf(const State &state, const Demand &demand, bool isPreferred) const
{
    double tokens = demand.ownTokens + state.pendingTokens + kRunningTokens * state.running;
    if (!isPreferred)
        tokens += demand.sharedTokens;
    return (tokens + kRunningTokens) * state.slowness;
}

const ServiceBalancer::State *ServiceBalancer::preferred(const Demand &demand, TimePoint now) const
{
    const auto [first, last] = engineRange(demand);
    const State *best = nullptr;
    std::uint64_t highest = 0;
    for (std::size_t i = first; i < last; ++i) {
        const State &state = m_states.at(m_order[i]);
        const std::uint64_t weight = rendezvousWeight(demand.affinityKey, state.hash);
        if (now < state.avoidUntil || (best != nullptr && weight <= highest))
            continue;
        best = &state;
        highest = weight;
    }
    return best;
}

void ServiceBalancer::onSent(const UpstreamId &id, const Demand &demand)
{
    auto &state = m_states[id];
    ++state.running;
    state.pendingTokens += demand.ownTokens;
}

double ServiceBalancer::expectedSeconds(const State &, const Demand &demand) const
{
    return m_baseSeconds + m_tokenSeconds * demand.ownTokens;
}

void ServiceBalancer::onFirstEvent(const UpstreamId &id, const Demand &demand, Duration took)
{
    auto &state = m_states[id];
    state.pendingTokens = std::max(0.0, state.pendingTokens - demand.ownTokens);
    const double time = toSeconds(took);
    const double expected = expectedSeconds(state, demand);
    if (expected > 0) {
        const double ratio = std::clamp(time / expected, 1 / kSlowest, kSlowest);
        state.slowness += kGain * (ratio - state.slowness);
    }
    // Two coupled averages: small prompts move the base, large ones the time of a token.
    constexpr std::uint32_t kLargePrompt = 1000;
    constexpr double kSlowGain = 0.03;
    if (demand.ownTokens < kLargePrompt) {
        const double gain = m_baseSeconds == 0 ? 1 : kSlowGain;
        m_baseSeconds += gain * (time - m_baseSeconds);
    } else {
        const double gain = m_tokenSeconds == 0 ? 1 : kSlowGain;
        const double slope = std::max(0.0, time - m_baseSeconds) / demand.ownTokens;
        m_tokenSeconds += gain * (slope - m_tokenSeconds);
    }
}

void ServiceBalancer::onEnded(const UpstreamId &id, const Demand &demand, bool hadFirstEvent,
                              AttemptVerdict verdict, TimePoint now)
{
    const auto it = m_states.find(id);
    if (it == m_states.end())
        return;
    auto &state = it->second;
    state.running -= state.running > 0 ? 1 : 0;
    if (!hadFirstEvent)
        state.pendingTokens = std::max(0.0, state.pendingTokens - demand.ownTokens);
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
    if (!state.usable && state.running == 0)
        m_states.erase(it);
}

std::uint32_t ServiceBalancer::running() const
{
    std::uint32_t total = 0;
    for (const auto &[id, state] : m_states)
        total += state.running;
    return total;
}

} // namespace hawthornslip
