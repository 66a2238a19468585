#pragma once

#include "core/time.h"
#include "modules/balancing/service_balancer.h"
#include "modules/limits/named_limits.h"
#include "modules/quarantine/crash_evidence.h"
#include "modules/queueing/workspace_use.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/** Load report of one node, or of all nodes of its failure domain, to peers. */
struct PeerReport
{
    /** Address `ip:port` on which the sender receives reports. */
    std::string node;
    /** Failure domain of the sender. */
    std::string domain;
    /** The loads and demands are the sums of all nodes in the sender's failure domain. */
    bool isSummary = false;
    /** A summary that another node has passed on. */
    bool isForwarded = false;
    /** Number of the summary's copy, which decides on its way within a failure domain. */
    std::size_t copy = 0;
    /** Nodes of the failure domain that the sender of a summary has heard recently. */
    std::vector<std::string> heardNodes;
    /** Random incarnation number, new with each start of the process. */
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
    std::vector<NodeLoad> loads;
    /** Demand by the hash of the service's name. */
    std::vector<std::pair<std::uint64_t, NodeDemand>> demands;
    /** Engine time of workspaces at services in need, by the hash of the service's name. */
    std::map<std::uint64_t, std::vector<WorkspaceUse>> uses;
    CrashEvidence evidence;
    std::vector<LimitNotice> limits;
    /** A message about usage, encoded; a report with one holds nothing else. */
    std::string usage;
};

/** Receives changes of the load and demand of peers. */
class PeerLoadSink
{
public:
    virtual ~PeerLoadSink() = default;

    virtual void onPeerLoad(const LoadChange &change) = 0;
    virtual void onPeerDemand(std::uint64_t service, const NodeDemand &added) = 0;
    /**
     * Replaces the uses that @p sender has reported for a service.
     *
     * @param uses empty when it reports none any more, or is dropped.
     */
    virtual void onPeerUses(const std::string &sender, std::uint64_t service,
                            const std::vector<WorkspaceUse> &uses) = 0;
};

/**
 * Converts load reports of peers, which may be lost, duplicated or reordered, into changes. The
 * running requests of a peer that stops reporting are subtracted again.
 */
class PeerLoads
{
public:
    explicit PeerLoads(PeerLoadSink &sink);

    /** Handles a report; one that is not newer than its sender's last one is ignored. */
    void onReport(const PeerReport &report, TimePoint now);

    /** Drops a peer and subtracts its running requests. */
    void forget(const std::string &node);

    /** Drops silent peers and subtracts their running requests. */
    void expire(TimePoint now);

    /** @return the number of peers that are not dropped as silent. */
    std::size_t activePeerCount() const { return m_peers.size(); }

private:
    struct Peer
    {
        std::uint64_t boot = 0;
        /** Boot of the node that sent a domain's sum before. */
        std::uint64_t replacedBoot = 0;
        std::uint64_t sequence = 0;
        TimePoint heardAt{};
        std::unordered_map<std::uint64_t, NodeLoad> loads;
        std::unordered_map<std::uint64_t, NodeDemand> demands;
        /** Services of which it reports uses. */
        std::vector<std::uint64_t> servicesInNeed;
    };

    void subtractLoads(Peer &peer);
    void applyUses(const std::string &sender, Peer &peer,
                   const std::map<std::uint64_t, std::vector<WorkspaceUse>> &uses);
    void applyLoad(Peer &peer, const NodeLoad &load);

    PeerLoadSink &m_sink;
    std::unordered_map<std::string, Peer> m_peers;
};

} // namespace hawthornslip
