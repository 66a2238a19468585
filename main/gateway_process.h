#pragma once

#include "core/gateway_settings.h"
#include "core/interfaces/state_feed.h"
#include "drivers/asio/asio_connection_probe.h"
#include "drivers/asio/asio_event_loop.h"
#include "drivers/asio/asio_http_server.h"
#include "drivers/asio/asio_upstream_client.h"
#include "drivers/asio/udp_peer_transport.h"
#include "drivers/prometheus/prometheus_metrics.h"
#include "main/duty_host.h"
#include "main/memory_report.h"
#include "main/settings_watch.h"
#include "main/status_sink.h"
#include "modules/peers/state_readers.h"
#include "platform/node_registry.h"
#include "platform/object_version_store.h"
#include "platform/wire_headers.h"
#include "servers/gateway/gateway.h"
#include "servers/peers/load_exchange.h"
#include "servers/state/feed_follower.h"
#include "servers/state/recording_sink.h"
#include "servers/state/relayed_feed.h"
#include "servers/state/state_relay.h"

#include <boost/asio/signal_set.hpp>

#include <memory>
#include <string_view>

namespace hawthornslip {

/** Owns the event loop, listeners, feed followers and signal handling of a gateway. */
class GatewayProcess : private StateReaderSource
{
public:
    /** @param watch detects changes of the file that @p settings were read from. */
    GatewayProcess(const GatewaySettings &settings, SettingsWatch watch);
    ~GatewayProcess() override;

    /** Serves until SIGTERM or SIGINT. @return false when a listener cannot be started. */
    bool run();

private:
    std::optional<std::string> reader() override;
    void onReaderFailed(const std::string &reader, bool refused) override;
    /** Adapts the pace of reading to whether other nodes follow this one. */
    void updateReaderPace();
    void startFollowers();
    /** Tells the others of an era of the store that the follower of @p by has seen. */
    void onEraSeen(StateKind by, std::uint64_t era);
    void startDuties();
    /** Starts to follow configuration and upstreams, unless that has been done. */
    void startStateFollowers();
    void waitForSignal();
    void onSignal(int number);
    void reload(std::string_view trigger);
    void apply(const GatewaySettings &settings);
    void pollSettings();
    void beginStop(int number);
    void continueStop();
    void tick();

    GatewaySettings m_settings;
    SettingsWatch m_watch;
    TimePoint m_settingsReadAt{};
    // Outlives the connections of the loop.
    MemoryReport m_memory;
    AsioEventLoop m_loop;
    PrometheusMetrics m_metrics;
    platform::WireHeaders m_dialect;
    AsioUpstreamClient m_client;
    AsioUpstreamClient m_storeClient;
    AsioConnectionProbe m_probe;
    Gateway m_gateway;
    UdpPeerTransport m_transport;
    platform::ObjectNodeRegistry m_registry;
    platform::ObjectVersionStore m_versionStore;
    LoadExchange m_exchange;
    StateReaders m_readers;
    StateRelay m_relay;
    StoreContact m_storeContact;
    RecordingSink<RoutingConfig> m_configSink;
    RecordingSink<UpstreamEntry> m_upstreamSink;
    RecordingSink<NodeEntry> m_nodeSink;
    StatusSink m_readinessPage;
    StatusSink m_metricsPage;
    AsioHttpServer m_callerServer;
    AsioHttpServer m_readinessServer;
    AsioHttpServer m_metricsServer;
    AsioHttpServer m_relayServer;
    /** Set when the settings name duties. */
    std::unique_ptr<DutyHost> m_duties;
    std::unique_ptr<RelayedFeed<RoutingConfig>> m_configFeed;
    std::unique_ptr<RelayedFeed<UpstreamEntry>> m_upstreamFeed;
    std::unique_ptr<RelayedFeed<NodeEntry>> m_nodeFeed;
    std::unique_ptr<FeedFollower<RoutingConfig>> m_configFollower;
    std::unique_ptr<FeedFollower<UpstreamEntry>> m_upstreamFollower;
    std::unique_ptr<FeedFollower<NodeEntry>> m_nodeFollower;
    bool m_stateFollowersStarted = false;
    boost::asio::signal_set m_signals;
    TimePoint m_stopStartedAt{};
    bool m_stoppedAccepting = false;
    bool m_hasEndedRequests = false;
};

} // namespace hawthornslip
