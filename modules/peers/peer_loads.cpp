#include "modules/peers/peer_loads.h"

namespace hawthornslip {

namespace {

// Three reports of an idle node, so that one or two may be lost.
constexpr Duration kSilence = seconds(3);

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
    // Counters of a new boot start at zero, so that all of them is news.
    if (!isFirst && peer.boot != report.boot)
        takeBack(peer);
    peer.boot = report.boot;
    peer.sequence = report.sequence;
    peer.heardAt = now;
    for (const auto &load : report.loads)
        applyLoad(peer, load);
    for (const auto &[service, demand] : report.demands) {
        NodeDemand &last = peer.demands[service];
        // What a peer did before it was first heard of is no news.
        if (!isFirst)
            m_sink.onPeerDemand(service, {demand.tolerantTokens - last.tolerantTokens,
                                          demand.sensitiveTokens - last.sensitiveTokens});
        last = demand;
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
    // A report holds a part of the loads. What was sent before a load is first heard of is no news.
    for (std::size_t i = 0; !isNew && i < kUrgencyLevels; ++i) {
        if (load.promptTokens[i] > last.promptTokens[i])
            change.promptTokens[i] = load.promptTokens[i] - last.promptTokens[i];
    }
    m_sink.onPeerLoad(change);
    last = load;
}

void PeerLoads::takeBack(Peer &peer)
{
    for (const auto &[upstream, load] : peer.loads) {
        if (load.running > 0)
            m_sink.onPeerLoad({upstream,
                               -static_cast<std::int64_t>(load.running),
                               -static_cast<std::int64_t>(load.sensitive),
                               {}});
    }
    peer.loads.clear();
    peer.demands.clear();
}

void PeerLoads::expire(TimePoint now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.heardAt < kSilence) {
            ++it;
            continue;
        }
        takeBack(it->second);
        it = m_peers.erase(it);
    }
}

} // namespace hawthornslip
