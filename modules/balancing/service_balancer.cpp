#include "modules/balancing/service_balancer.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// Failures in a row after which an upstream is avoided; single ones also come from the request.
constexpr std::uint32_t kFailuresInRow = 3;
constexpr Duration kAvoidFailed = seconds(2);
// A full upstream has room again as soon as a request ends.
constexpr Duration kAvoidFull = milliseconds(150);
constexpr Duration kAvoidUnreachable = seconds(1);

} // namespace

ServiceBalancer::ServiceBalancer(std::uint64_t seed)
    : m_random(seed)
{}

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
        state.hash = rendezvousMemberHash(it.id.value);
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
    for (std::size_t i = 0; i < m_order.size(); ++i)
        m_states.at(m_order[i]).place = i;
    m_byHash.clear();
    for (const auto &[id, state] : m_states)
        m_byHash.emplace(state.hash, id);
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
