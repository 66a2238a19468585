#include "modules/peers/peer_loads.h"

namespace hawthornslip {

namespace {

// Three report intervals of an idle node, so that one or two reports may be lost.
constexpr Duration kReportTimeout = seconds(3);
// The first report of an upstream's load is only the baseline, except for the speed when it has no
// more samples: many nodes send an upstream few requests, and all of these are recent or count
// little.
constexpr std::uint32_t kRecentSamples = 3;

} // namespace

PeerLoads::PeerLoads(PeerLoadSink &sink)
    : m_sink(sink)
{}

void PeerLoads::onReport(const PeerReport &report, TimePoint now)
{
    auto [it, isFirst] = m_peers.try_emplace(report.node);
    Peer &peer = it->second;
    if (!isFirst && peer.boot == report.boot && report.sequence <= peer.sequence)
        return;
    const bool isOtherSender = !isFirst && peer.boot != report.boot;
    // A late copy of a sum whose sender another node has replaced.
    if (isOtherSender && report.isSummary && report.boot == peer.replacedBoot)
        return;
    // Counters of a new incarnation start at zero, so the first demand counters are all new. Those
    // of another node that sends the sum of its domain have been counted for as long as it runs.
    const bool isBaseline = isFirst || (isOtherSender && report.isSummary);
    if (isOtherSender) {
        subtractLoads(peer);
        peer.replacedBoot = peer.boot;
    }
    peer.boot = report.boot;
    peer.sequence = report.sequence;
    peer.heardAt = now;
    for (const auto &load : report.loads)
        applyLoad(peer, load);
    for (const auto &[service, demand] : report.demands) {
        NodeDemand &last = peer.demands[service];
        // The first report of a peer is only the baseline for later ones.
        if (!isBaseline)
            m_sink.onPeerDemand(service, {demand.tolerantTokens - last.tolerantTokens,
                                          demand.sensitiveTokens - last.sensitiveTokens,
                                          demand.requests - last.requests,
                                          demand.tolerantRequests - last.tolerantRequests});
        last = demand;
    }
    applyUses(report.node, peer, report.uses);
}

void PeerLoads::applyUses(const std::string &sender, Peer &peer,
                          const std::map<std::uint64_t, std::vector<WorkspaceUse>> &uses)
{
    for (const std::uint64_t service : peer.servicesInNeed) {
        if (uses.count(service) == 0)
            m_sink.onPeerUses(sender, service, {});
    }
    peer.servicesInNeed.clear();
    for (const auto &[service, list] : uses) {
        peer.servicesInNeed.push_back(service);
        m_sink.onPeerUses(sender, service, list);
    }
}

void PeerLoads::applyLoad(Peer &peer, const NodeLoad &load)
{
    const auto [entry, isNew] = peer.loads.try_emplace(load.upstreamHash);
    NodeLoad &last = entry->second;
    LoadChange change;
    change.upstreamHash = load.upstreamHash;
    change.running = static_cast<std::int64_t>(load.running) - last.running;
    change.sensitive = static_cast<std::int64_t>(load.sensitive) - last.sensitive;
    // A report contains a subset of the loads, so each load has its own baseline: its first report.
    for (std::size_t i = 0; !isNew && i < kUrgencyLevels; ++i) {
        if (load.promptTokens[i] > last.promptTokens[i])
            change.promptTokens[i] = load.promptTokens[i] - last.promptTokens[i];
    }
    const EngineSpeedSums speedBefore = last.speed.value_or(EngineSpeedSums());
    const bool isSpeedKnown = last.speed || (load.speed && load.speed->samples <= kRecentSamples);
    if (load.speed && isSpeedKnown && load.speed->samples > speedBefore.samples)
        change.speed = *load.speed - speedBefore;
    const auto speed = load.speed ? load.speed : last.speed;
    m_sink.onPeerLoad(change);
    last = load;
    last.speed = speed;
}

void PeerLoads::subtractLoads(Peer &peer)
{
    for (const auto &[upstream, load] : peer.loads) {
        if (load.running > 0)
            m_sink.onPeerLoad({upstream,
                               -static_cast<std::int64_t>(load.running),
                               -static_cast<std::int64_t>(load.sensitive),
                               {},
                               {}});
    }
    peer.loads.clear();
    peer.demands.clear();
}

void PeerLoads::forget(const std::string &node)
{
    const auto it = m_peers.find(node);
    if (it == m_peers.end())
        return;
    subtractLoads(it->second);
    applyUses(node, it->second, {});
    m_peers.erase(it);
}

void PeerLoads::expire(TimePoint now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.heardAt < kReportTimeout) {
            ++it;
            continue;
        }
        subtractLoads(it->second);
        applyUses(it->first, it->second, {});
        it = m_peers.erase(it);
    }
}

} // namespace hawthornslip
