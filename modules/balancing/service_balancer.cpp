#include "modules/balancing/service_balancer.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// Consecutive failures after which an upstream is avoided; the request may cause a single one.
constexpr std::uint32_t kFailureThreshold = 3;
constexpr Duration kAvoidAfterFailures = seconds(2);
// Short, because a full upstream has a free slot again as soon as one request ends.
constexpr Duration kAvoidAfterFull = milliseconds(150);
constexpr Duration kAvoidAfterUnreachable = seconds(1);
// A node sends a few requests of each urgency per second.
constexpr Duration kRecentlySent = seconds(2);

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
        else if (state.entry.bornMs != 0 && state.entry.bornMs != it.bornMs)
            resetSpeed(state);
        state.entry = it;
        state.hash = rendezvousMemberHash(it.id.value);
        const auto peers = m_peers.find(state.hash);
        state.peers = peers == m_peers.end() ? PeerRequests() : peers->second;
        state.usable = true;
        m_order.push_back(it.id);
    }
    sortUpstreams();
    std::erase_if(m_states,
                  [](const auto &it) { return !it.second.usable && it.second.running == 0; });
    m_byHash.clear();
    for (const auto &[id, state] : m_states)
        m_byHash.emplace(state.hash, id);
}

void ServiceBalancer::sortUpstreams()
{
    const auto rank = [this](const UpstreamId &id) {
        const State &state = m_states.at(id);
        return std::pair(!state.permits.has_value(), state.hash);
    };
    std::sort(m_order.begin(), m_order.end(),
              [&rank](const auto &a, const auto &b) { return rank(a) < rank(b); });
    for (std::size_t i = 0; i < m_order.size(); ++i)
        m_states.at(m_order[i]).position = i;
}

void ServiceBalancer::onRequest(const RequestDemand &demand, TimePoint now)
{
    m_share.onRequest(now);
    ++m_demand.requests;
    if (demand.ownTokens == 0)
        return;
    m_partition.observe(demand.tolerance, demand.ownTokens, 1, now);
    if (demand.tolerance == PauseTolerance::Sensitive) {
        m_demand.sensitiveTokens += demand.ownTokens;
        return;
    }
    m_demand.tolerantTokens += demand.ownTokens;
    ++m_demand.tolerantRequests;
}

void ServiceBalancer::onSent(const RequestPlacement &placement, TimePoint now)
{
    auto &state = m_states[placement.upstream.id];
    ++state.running;
    if (placement.tolerance == PauseTolerance::Sensitive)
        ++state.sensitive;
    state.wasUsed = true;
    state.sentTokens[placement.urgency] += static_cast<std::uint64_t>(placement.prefillTokens);
    m_totalSentTokens += static_cast<std::uint64_t>(placement.prefillTokens);
    state.prefill.add(placement.urgency, placement.prefillTokens, now);
    m_lastSentAt[placement.urgency] = now;
    if (state.permits)
        state.permits->onSent(m_share.value(now), now);
}

void ServiceBalancer::onFirstEvent(const RequestPlacement &placement, Duration timeToFirstEvent,
                                   TimePoint now)
{
    // Only a prompt that did not wait for others measures the prefill rate.
    constexpr Duration kIdleWait = milliseconds(10);
    if (placement.wait < kIdleWait) {
        m_rate.observe(placement.prefillTokens, timeToFirstEvent);
        if (placement.preferenceRank == 0)
            m_rate.observeCached(placement.prefillTokens, timeToFirstEvent);
    }
    observeSpeed(placement, timeToFirstEvent, now);
    for (auto &[id, state] : m_states)
        applySpeed(state, now);
}

void ServiceBalancer::observeSpeed(const RequestPlacement &placement, Duration timeToFirstEvent,
                                   TimePoint now)
{
    // The time until an engine has a free slot says little about its speed, and so does that of a
    // prompt that mostly waits for others.
    if (placement.isFull || placement.isOverLimit || placement.prefillTokens <= 0 ||
        placement.tokensBefore > placement.prefillTokens)
        return;
    const auto it = m_states.find(placement.upstream.id);
    // A restarted upstream may be on faster hardware than before.
    if (it == m_states.end() || it->second.entry.bornMs != placement.upstream.bornMs)
        return;
    const auto sums = m_firstEvents.observe(
            {placement.upstream.domain, placement.tokensBefore + placement.prefillTokens,
             placement.preferenceRank == 0, placement.occupancy, timeToFirstEvent});
    if (!sums)
        return;
    it->second.speed.add(*sums, now);
    it->second.speedSums += *sums;
}

void ServiceBalancer::resetSpeed(State &state) const
{
    state.speed = {};
    applySpeed(state, TimePoint{});
}

void ServiceBalancer::applySpeed(State &state, TimePoint now) const
{
    const double factor = state.speed.factor(now);
    state.slowness = 1 / factor;
    state.prefill.setTokensPerSecond(factor * m_rate.tokensPerSecond());
}

void ServiceBalancer::onEnded(const RequestPlacement &placement, AttemptOutcome outcome,
                              TimePoint now)
{
    const auto it = m_states.find(placement.upstream.id);
    if (it == m_states.end())
        return;
    auto &state = it->second;
    state.running -= state.running > 0 ? 1 : 0;
    if (placement.tolerance == PauseTolerance::Sensitive)
        state.sensitive -= state.sensitive > 0 ? 1 : 0;
    switch (outcome) {
    case AttemptOutcome::Succeeded:
        state.consecutiveFailures = 0;
        break;
    case AttemptOutcome::Full:
        state.avoidUntil = std::max(state.avoidUntil, now + kAvoidAfterFull);
        break;
    case AttemptOutcome::Unreachable:
        state.avoidUntil = std::max(state.avoidUntil, now + kAvoidAfterUnreachable);
        break;
    case AttemptOutcome::Failed:
        if (++state.consecutiveFailures >= kFailureThreshold)
            state.avoidUntil = now + kAvoidAfterFailures;
        break;
    case AttemptOutcome::Neutral:
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
        if (state.wasUsed)
            loads.push_back({state.hash, state.running, state.sensitive, state.sentTokens,
                             state.speedSums});
    }
    return loads;
}

bool ServiceBalancer::hasSentLessUrgent(std::size_t urgency, TimePoint now) const
{
    return std::any_of(m_lastSentAt.begin() + static_cast<std::ptrdiff_t>(urgency) + 1,
                       m_lastSentAt.end(),
                       [now](TimePoint at) { return now - at < kRecentlySent; });
}

void ServiceBalancer::onPeerLoad(const LoadChange &change, TimePoint now)
{
    for (std::size_t urgency = 0; urgency < kUrgencyLevels; ++urgency) {
        if (change.promptTokens[urgency] > 0)
            m_lastSentAt[urgency] = now;
    }
    PeerRequests &sum = m_peers[change.upstreamHash];
    sum.running += change.running;
    sum.sensitive += change.sensitive;
    const PeerRequests peers = sum;
    if (peers.running == 0 && peers.sensitive == 0)
        m_peers.erase(change.upstreamHash);
    const auto it = m_byHash.find(change.upstreamHash);
    if (it == m_byHash.end())
        return;
    auto &state = m_states.at(it->second);
    state.peers = peers;
    for (std::size_t urgency = 0; urgency < kUrgencyLevels; ++urgency) {
        m_totalSentTokens += change.promptTokens[urgency];
        if (change.promptTokens[urgency] > 0)
            state.prefill.add(urgency, static_cast<double>(change.promptTokens[urgency]), now);
    }
    if (change.speed.samples > 0) {
        state.speed.add(change.speed, now);
        applySpeed(state, now);
    }
}

NodeDemand ServiceBalancer::totalDemand() const
{
    return {m_demand.tolerantTokens + m_peerDemand.tolerantTokens,
            m_demand.sensitiveTokens + m_peerDemand.sensitiveTokens,
            m_demand.requests + m_peerDemand.requests,
            m_demand.tolerantRequests + m_peerDemand.tolerantRequests};
}

std::uint32_t ServiceBalancer::totalRunning() const
{
    std::int64_t sum = 0;
    for (const auto &it : m_order) {
        const State &state = m_states.at(it);
        sum += std::max<std::int64_t>(0, state.running + state.peers.running);
    }
    return static_cast<std::uint32_t>(sum);
}

void ServiceBalancer::setRequestLimit(std::uint64_t upstreamHash,
                                      std::optional<double> requestsPerSecond, TimePoint now)
{
    const auto it = m_byHash.find(upstreamHash);
    if (it == m_byHash.end())
        return;
    auto &permits = m_states.at(it->second).permits;
    const bool wasLimited = permits.has_value();
    if (!requestsPerSecond)
        permits.reset();
    else if (permits)
        permits->setLimit(*requestsPerSecond, m_share.value(now), now);
    else
        permits.emplace(*requestsPerSecond, std::uniform_real_distribution<double>()(m_random),
                        now);
    if (permits.has_value() != wasLimited)
        sortUpstreams();
}

void ServiceBalancer::onPeerDemand(const NodeDemand &added, TimePoint now)
{
    m_share.onPeers(added.requests, now);
    m_peerDemand.requests += added.requests;
    m_peerDemand.tolerantRequests += added.tolerantRequests;
    m_peerDemand.tolerantTokens += added.tolerantTokens;
    m_peerDemand.sensitiveTokens += added.sensitiveTokens;
    const auto tolerantRequests = static_cast<double>(added.tolerantRequests);
    m_partition.observe(PauseTolerance::Tolerant, static_cast<double>(added.tolerantTokens),
                        tolerantRequests, now);
    m_partition.observe(PauseTolerance::Sensitive, static_cast<double>(added.sensitiveTokens),
                        static_cast<double>(added.requests) - tolerantRequests, now);
}

} // namespace hawthornslip
