#pragma once

#include "core/interfaces/event_loop.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/node_registry.h"
#include "core/interfaces/peer_transport.h"
#include "modules/peers/peer_list.h"
#include "modules/peers/peer_loads.h"
#include "modules/peers/report_filter.h"
#include "servers/state/feed_follower.h"

#include <functional>
#include <random>
#include <string>

namespace hawthornslip {

/** The entry of a node in the platform's store. */
struct NodeEntry
{
    /** `ip:port` that the node receives messages on. */
    std::string address;
};

/** What a load exchange works with; all outlive it. */
struct LoadExchangeParts
{
    EventLoop &loop;
    PeerTransport &transport;
    NodeRegistry &registry;
    Metrics &metrics;
};

/**
 * Tells the other nodes about this node's load and hears of theirs. Reports are hints: a node that
 * hears nothing goes on with what it sees itself.
 */
class LoadExchange : public FollowerSink<NodeEntry>
{
public:
    /** Fills in the loads and demands of this node. */
    using Collect = std::function<void(PeerReport &)>;

    LoadExchange(LoadExchangeParts parts, std::string address, Collect collect, PeerLoadSink &sink,
                 std::uint64_t seed);

    /** Starts to report and to receive. */
    void start();

    /** Asks for a report soon, as this node's load has changed. */
    void onLoadChanged();

    void onList(const std::vector<FeedItem<NodeEntry>> &items) override;
    void onChange(const FeedItem<NodeEntry> &item) override;
    void onConfirmed(TimePoint) override {}

private:
    void announce();
    void removeExpiredPeers();
    void receive(const std::string &bytes);
    void sendReport();
    void scheduleReport();
    Duration reportInterval() const;
    void tick();

    LoadExchangeParts m_parts;
    std::string m_address;
    Collect m_collect;
    PeerLoads m_loads;
    ReportFilter m_filter;
    PeerList m_peers;
    std::mt19937_64 m_random;
    std::uint64_t m_boot;
    std::uint64_t m_sequence = 0;
    bool m_announcing = false;
    bool m_reportScheduled = false;
    TimePoint m_reportedAt{};
};

} // namespace hawthornslip
