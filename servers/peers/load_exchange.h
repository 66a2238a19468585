#pragma once

#include "core/ids.h"
#include "core/interfaces/event_loop.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/node_registry.h"
#include "core/interfaces/peer_transport.h"
#include "modules/peers/domain_loads.h"
#include "modules/peers/peer_list.h"
#include "modules/peers/peer_loads.h"
#include "modules/peers/report_filter.h"
#include "modules/peers/report_plan.h"
#include "modules/peers/sum_tree.h"
#include "servers/peers/peer_evidence.h"
#include "servers/peers/peer_limits.h"
#include "servers/peers/peer_usage.h"
#include "servers/state/feed_follower.h"

#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip {

/** Entry of a router node in the platform's store. */
struct NodeEntry
{
    /** `ip:port` on which the node receives peer messages. */
    std::string address;
    /** Failure domain of the node; empty if the entry does not name it. */
    FailureDomain domain{};
};

/** Dependencies of a load exchange; all must outlive it. */
struct LoadExchangeParts
{
    EventLoop &loop;
    PeerTransport &transport;
    NodeRegistry &registry;
    Metrics &metrics;
    PeerEvidence &evidence;
    PeerLimits &limits;
};

/**
 * Exchanges load reports with the other nodes and keeps the list of nodes in the store up to date.
 * Reports are hints: a node that receives none works from its own load and evidence alone.
 */
class LoadExchange : public FollowerSink<NodeEntry>, public UsageTransport
{
public:
    /** Adds the loads and demands of this node to a report. */
    using Collect = std::function<void(PeerReport &)>;

    LoadExchange(LoadExchangeParts parts, NodeEntry self, Collect collect, PeerLoadSink &sink,
                 std::uint64_t seed);

    /** Starts sending and receiving reports. */
    void start();

    /** Sets the callback that runs after the list of nodes was read. */
    void onListRead(std::function<void()> task) { m_listRead = std::move(task); }

    /** Schedules a report after a change of this node's load. */
    void onLoadChanged();

    void onList(const std::vector<FeedItem<NodeEntry>> &items) override;
    void onChange(const FeedItem<NodeEntry> &item) override;
    void onConfirmed(TimePoint, StatePosition) override {}

    void setUsage(PeerUsage *usage) override { m_usage = usage; }
    void sendUsage(const NodeId &to, const std::string &bytes) override;
    std::uint64_t boot() const override { return m_boot; }

    /** @return the addresses of all other nodes that this node hears. */
    std::vector<std::string> livePeers() const override
    {
        return m_peers.reachable(m_parts.loop.now());
    }
    /** @return the addresses of the nodes in @p domain that this node hears. */
    std::vector<std::string> livePeers(const FailureDomain &domain) const;

private:
    void announce();
    void removeExpiredPeers();
    void receive(const std::string &bytes);
    void onNodeReport(const PeerReport &report);
    void onSummary(PeerReport report);
    /** Passes a summary of another failure domain on within this one. */
    void forward(PeerReport report);
    bool isSummarized(const FailureDomain &domain) const;
    FailureDomain domainOf(const std::string &address) const;
    void updatePlan();
    PeerReport makeReport();
    void sendReport();
    void sendSummary();
    void summarize();
    void send(const PeerReport &report, const std::vector<std::string> &recipients,
              std::string_view kind);
    void scheduleReport();
    /** Logs the bytes that were exchanged with other nodes since the last line. */
    void logTraffic();
    void tick();

    LoadExchangeParts m_parts;
    PeerUsage *m_usage = nullptr;
    std::string m_address;
    FailureDomain m_domain;
    Collect m_collect;
    /** Loads of single nodes, and of other failure domains. */
    PeerLoads m_loads;
    DomainLoads m_domainSum;
    /** Loads of the other nodes in this node's failure domain, for its sum. */
    PeerLoads m_domainLoads{m_domainSum};
    ReportFilter m_filter;
    ReportFilter m_summaryFilter;
    PeerList m_peers;
    ReportPlan m_plan;
    std::size_t m_planRound = 0;
    SumHistory m_forwardedSums;
    /** Time of the last summary, by failure domain. */
    std::map<FailureDomain, TimePoint> m_summaryHeardAt;
    /** Failure domains of the peers, by address. */
    std::map<std::string, FailureDomain> m_domains;
    std::function<void()> m_listRead;
    std::mt19937_64 m_random;
    std::uint64_t m_boot;
    std::uint64_t m_sequence = 0;
    bool m_announcing = false;
    bool m_reportScheduled = false;
    TimePoint m_reportedAt{};
    TimePoint m_summarizedAt{};
    TimePoint m_heardNodesSentAt{};
    bool m_loadChangedSinceSummary = false;
    /** Bytes sent since the last log line, by kind of message. */
    std::map<std::string_view, std::size_t> m_sentBytes;
    std::size_t m_receivedBytes = 0;
    TimePoint m_trafficLoggedAt{};
};

} // namespace hawthornslip
