#pragma once

#include "core/time.h"
#include "modules/balancing/service_balancer.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/** What one node tells its peers about its load. */
struct PeerReport
{
    /** Address `ip:port` that the node receives on. */
    std::string node;
    /** Random, new with each start. */
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
    std::vector<NodeLoad> loads;
    /** By the hash of the service's name. */
    std::vector<std::pair<std::uint64_t, NodeDemand>> demands;
};

/** Receives what changed in the load of peers. */
class PeerLoadSink
{
public:
    virtual ~PeerLoadSink() = default;

    virtual void onPeerLoad(const LoadChange &change) = 0;
    virtual void onPeerDemand(std::uint64_t service, const NodeDemand &added) = 0;
};

/**
 * Turns the reports of peers, which may be lost, doubled or late, into changes. The running
 * requests of a peer that falls silent are taken back.
 */
class PeerLoads
{
public:
    explicit PeerLoads(PeerLoadSink &sink);

    /** Takes a report; one that is not newer than the last of its sender is ignored. */
    void onReport(const PeerReport &report, TimePoint now);

    /** Takes back what silent peers had running. */
    void expire(TimePoint now);

    /** @return peers that were heard lately. */
    std::size_t heard() const { return m_peers.size(); }

private:
    struct Peer
    {
        std::uint64_t boot = 0;
        std::uint64_t sequence = 0;
        TimePoint heardAt{};
        std::unordered_map<std::uint64_t, NodeLoad> loads;
        std::unordered_map<std::uint64_t, NodeDemand> demands;
    };

    void takeBack(Peer &peer);
    void applyLoad(Peer &peer, const NodeLoad &load);

    PeerLoadSink &m_sink;
    std::unordered_map<std::string, Peer> m_peers;
};

} // namespace hawthornslip
