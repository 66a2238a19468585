#include "main/gateway_process.h"

#include "core/logger.h"
#include "core/reasons.h"
#include "platform/object_feed.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <random>
#include <utility>

namespace hawthornslip {

namespace {

// Upstreams and the store acknowledge within milliseconds; 3 s without an acknowledgement means
// that the connection is lost.
constexpr Duration kAckTimeout = seconds(3);
// Sound upstreams may pause for about that long.
constexpr Duration kProbeTimeout = seconds(1);
// The platform checks readiness every second and stops routing to a node after two failures.
constexpr Duration kDeregistrationDelay = milliseconds(2500);
// Part of the grace period that is left to answer open requests and to exit.
constexpr Duration kExitMargin = milliseconds(600);
constexpr Duration kTickInterval = milliseconds(200);
constexpr Duration kNodeRelayWatch = seconds(10);
// Bounds the pace of a reader when no drain time is set.
constexpr double kShortestWatchSeconds = 0.2;
// Time in which nodes that start together have written their entries to the store.
constexpr Duration kFirstAnnouncements = seconds(1);
// The file has about 1 KiB, and polling it takes about 20 us.
constexpr Duration kSettingsPollInterval = seconds(2);
constexpr std::string_view kSignalTrigger = "signal";
constexpr std::string_view kFileTrigger = "file";
// File descriptors reserved for upstreams, the store, files and the status listeners.
constexpr std::uint32_t kReservedDescriptors = 300;

std::size_t maxCallerConnections(const GatewaySettings &settings)
{
    // A request uses a caller connection and an upstream connection.
    const std::uint32_t free = settings.maxDescriptors > 2 * kReservedDescriptors
                                       ? settings.maxDescriptors - kReservedDescriptors
                                       : settings.maxDescriptors / 2;
    return free * 2 / 3;
}

FollowerTimes configTimes(const GatewaySettings &settings)
{
    FollowerTimes times;
    // Each answer confirms that no key was revoked; keys are accepted for longer than one watch.
    times.watch = settings.revokeWithin * 3 / 5;
    times.isAgeBounded = true;
    times.relayWithin = settings.revokeWithin * 2 / 5;
    times.overdueAfter = milliseconds(500);
    return times;
}

FollowerTimes upstreamTimes(const GatewaySettings &settings)
{
    FollowerTimes times;
    // Changes end a watch at once, and the configuration's follower detects a lost store.
    times.watch = seconds(15);
    // A release replaces upstreams one by one, so their changes are batched. The other two thirds
    // of the drain time are left for a slow answer and for a retry.
    times.batchDelay = settings.drainWithin / 3;
    return times;
}

FollowerTimes nodeTimes()
{
    FollowerTimes times;
    // Nodes join and leave rarely, and a late entry only delays the exchange of its load.
    times.watch = seconds(20);
    times.batchDelay = seconds(5);
    times.firstWatchDelay = kFirstAnnouncements;
    return times;
}

/** @return the length of a watch at another node, which bounds how late its loss is noticed. */
Duration relayWatch(const GatewaySettings &settings)
{
    // The rest of the drain time is left for the reader's own delay and for asking another one.
    return settings.drainWithin / 4;
}

/** @return the length of a reader's watch of the configuration, which notices a lost store. */
Duration readerWatch(const GatewaySettings &settings)
{
    // The nodes that follow a reader do not notice that it has lost the store. With the time until
    // the answer is overdue, half of the drain time is left for asking another reader.
    return std::min(configTimes(settings).watch, settings.drainWithin / 3);
}

Duration readerOverdueAfter(const GatewaySettings &settings)
{
    return std::min(configTimes(settings).overdueAfter, settings.drainWithin / 6);
}

/** @return the number of nodes in a failure domain from which on readers save calls. */
std::size_t minNodesForReaders(const GatewaySettings &settings)
{
    const auto paceRatio = toSeconds(configTimes(settings).watch) /
                           std::max(toSeconds(readerWatch(settings)), kShortestWatchSeconds);
    return static_cast<std::size_t>(
                   std::ceil(static_cast<double>(StateReaders::kReadersPerDomain) * paceRatio)) +
           1;
}

std::string peerAddress(const GatewaySettings &settings)
{
    return fmt::format("{}:{}", settings.peers.ip, settings.peers.port);
}

std::uint64_t randomSeed()
{
    std::random_device device;
    constexpr int kWordBits = 32;
    return (static_cast<std::uint64_t>(device()) << kWordBits) | device();
}

} // namespace

GatewayProcess::GatewayProcess(const GatewaySettings &settings, SettingsWatch watch)
    : m_settings(settings)
    , m_watch(std::move(watch))
    , m_memory(settings.memoryMb)
    , m_client(m_loop, kAckTimeout)
    , m_storeClient(m_loop, kAckTimeout)
    , m_probe(m_loop, kProbeTimeout, std::string(platform::kProcessQuestion))
    , m_gateway(GatewayParts{m_loop, m_dialect, m_client, m_probe, m_metrics}, settings,
                randomSeed())
    , m_transport(m_loop)
    , m_registry(m_storeClient, settings.storeAddress, settings.domain)
    , m_versionStore(m_storeClient, settings.storeAddress, peerAddress(settings))
    , m_exchange(
              LoadExchangeParts{m_loop, m_transport, m_registry, m_metrics, m_gateway.promptGuard(),
                                m_gateway.upstreamLimits()},
              NodeEntry{peerAddress(settings), settings.domain},
              [this](PeerReport &report) { m_gateway.collectLoads(report); }, m_gateway,
              randomSeed())
    , m_readers(peerAddress(settings), minNodesForReaders(settings))
    , m_relay(m_loop, m_metrics)
    , m_configSink(StateKind::Config, m_relay, m_gateway.state().configSink())
    , m_upstreamSink(StateKind::Upstreams, m_relay, m_gateway.state().upstreamSink())
    , m_nodeSink(StateKind::Nodes, m_relay, m_exchange)
    , m_readinessPage([this] {
        const bool ready = m_gateway.isReady();
        return StatusSink::Page(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    })
    , m_metricsPage([this] { return StatusSink::Page(200, m_metrics.serialize()); })
    , m_callerServer(m_loop, m_gateway, maxCallerConnections(settings))
    , m_readinessServer(m_loop, m_readinessPage, kReservedDescriptors / 4)
    , m_metricsServer(m_loop, m_metricsPage, kReservedDescriptors / 4)
    , m_relayServer(m_loop, m_relay, kReservedDescriptors / 2)
    , m_signals(m_loop.context(), SIGTERM, SIGINT, SIGHUP)
{}

GatewayProcess::~GatewayProcess() = default;

bool GatewayProcess::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    mapLargeBuffers();
    m_loop.setByteLedger(m_memory.account());
    if (!m_callerServer.start(m_settings.callers) ||
        !m_readinessServer.start(m_settings.readiness) ||
        !m_metricsServer.start(m_settings.metrics) || !m_transport.start(m_settings.peers) ||
        !m_relayServer.start(m_settings.peers))
        return false;
    startFollowers();
    m_gateway.versions().setStore(m_versionStore);
    startDuties();
    waitForSignal();
    m_loop.after(kTickInterval, [this] { tick(); });
    logEvent(LogLevel::Info, "gateway_started",
             {{"node", m_settings.nodeName},
              {"domain", m_settings.domain.value},
              {"callers", m_settings.callers.ip},
              {"port", m_settings.callers.port},
              {"store", m_settings.storeAddress}});
    m_loop.run();
    logEvent(LogLevel::Info, "gateway_stopped", {{"node", m_settings.nodeName}});
    flushLog();
    return true;
}

std::optional<std::string> GatewayProcess::reader()
{
    return m_readers.choose(m_exchange.livePeers(m_settings.domain), m_loop.now());
}

void GatewayProcess::onReaderFailed(const std::string &reader, bool refused)
{
    if (refused)
        m_readers.onRefused(reader, m_loop.now());
    else
        m_readers.onSilent(reader, m_loop.now());
}

void GatewayProcess::startFollowers()
{
    const RelayedFeedParts parts{m_loop, m_storeClient, *this};
    m_configFeed = std::make_unique<RelayedFeed<RoutingConfig>>(
            StateKind::Config, parts,
            platform::makeConfigFeed(m_storeClient, m_settings.storeAddress),
            platform::decodeRelayedConfig, relayWatch(m_settings));
    m_upstreamFeed = std::make_unique<RelayedFeed<UpstreamEntry>>(
            StateKind::Upstreams, parts,
            platform::makeUpstreamFeed(m_storeClient, m_settings.storeAddress),
            platform::decodeRelayedUpstream, relayWatch(m_settings));
    m_nodeFeed = std::make_unique<RelayedFeed<NodeEntry>>(
            StateKind::Nodes, parts, platform::makeNodeFeed(m_storeClient, m_settings.storeAddress),
            platform::decodeRelayedNode, kNodeRelayWatch);
    m_configFollower = std::make_unique<FeedFollower<RoutingConfig>>(
            "config", *m_configFeed, m_configSink, m_loop, m_metrics, configTimes(m_settings),
            randomSeed());
    m_upstreamFollower = std::make_unique<FeedFollower<UpstreamEntry>>(
            "upstreams", *m_upstreamFeed, m_upstreamSink, m_loop, m_metrics,
            upstreamTimes(m_settings), randomSeed());
    m_nodeFollower = std::make_unique<FeedFollower<NodeEntry>>(
            "nodes", *m_nodeFeed, m_nodeSink, m_loop, m_metrics, nodeTimes(), randomSeed());
    m_configFollower->shareContact(m_storeContact);
    m_upstreamFollower->shareContact(m_storeContact);
    m_nodeFollower->shareContact(m_storeContact);
    m_relay.setServing(StateKind::Config, [this] {
        return !m_configFeed->isRelayed() && !m_configFollower->isFailing();
    });
    m_relay.setServing(StateKind::Upstreams, [this] {
        return !m_upstreamFeed->isRelayed() && !m_upstreamFollower->isFailing();
    });
    m_relay.setServing(StateKind::Nodes,
                       [this] { return !m_nodeFeed->isRelayed() && !m_nodeFollower->isFailing(); });
    // A long watch without an answer cannot distinguish an idle store from a lost one.
    m_configFollower->onContactLost([this] {
        m_upstreamFollower->abandonWatch();
        m_nodeFollower->abandonWatch();
        m_relay.refuseHeld();
    });
    m_configFollower->onContactRegained([this] {
        m_upstreamFollower->retryNow();
        m_nodeFollower->retryNow();
    });
    m_configFollower->onEraSeen([this](std::uint64_t era) { onEraSeen(StateKind::Config, era); });
    m_upstreamFollower->onEraSeen(
            [this](std::uint64_t era) { onEraSeen(StateKind::Upstreams, era); });
    m_nodeFollower->onEraSeen([this](std::uint64_t era) { onEraSeen(StateKind::Nodes, era); });
    const auto isStoreLost = [this] { return m_configFollower->isFailing(); };
    m_upstreamFollower->deferRetriesWhile(isStoreLost);
    m_nodeFollower->deferRetriesWhile(isStoreLost);
    m_exchange.start();
    // With its peers known, a node reads the rest of the state from a reader. At the first start of
    // a deployment the list is empty, and the nodes first announce themselves.
    m_exchange.onListRead([this] {
        if (!m_exchange.livePeers(m_settings.domain).empty())
            startStateFollowers();
    });
    m_nodeFollower->start();
    m_loop.after(kFirstAnnouncements + kFirstAnnouncements / 2, [this] { startStateFollowers(); });
    m_gateway.onLoadChanged([this] { m_exchange.onLoadChanged(); });
    m_gateway.promptGuard().onNews([this] { m_exchange.onLoadChanged(); });
    m_gateway.upstreamLimits().onNews([this] { m_exchange.onLoadChanged(); });
}

void GatewayProcess::onEraSeen(StateKind by, std::uint64_t era)
{
    if (by != StateKind::Config)
        m_configFollower->enterEra(era);
    if (by != StateKind::Upstreams)
        m_upstreamFollower->enterEra(era);
    if (by != StateKind::Nodes)
        m_nodeFollower->enterEra(era);
    m_gateway.versions().rewrite();
    if (m_duties)
        m_duties->enterEra(era);
}

void GatewayProcess::startDuties()
{
    if (!m_settings.duties.performs(Duty::Usage) && !m_settings.duties.performs(Duty::Scaling))
        return;
    m_duties = std::make_unique<DutyHost>(
            DutyHostParts{m_loop, m_storeClient, m_metrics, m_exchange, m_gateway}, m_settings,
            NodeId(peerAddress(m_settings)), randomSeed());
    m_duties->start();
}

void GatewayProcess::updateReaderPace()
{
    const FollowerTimes times = configTimes(m_settings);
    if (m_relay.hasFollowers())
        m_configFollower->setWatch(readerWatch(m_settings), readerOverdueAfter(m_settings));
    else
        m_configFollower->setWatch(times.watch, times.overdueAfter);
}

void GatewayProcess::startStateFollowers()
{
    if (std::exchange(m_stateFollowersStarted, true))
        return;
    m_configFollower->start();
    m_upstreamFollower->start();
}

void GatewayProcess::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &ec, int number) {
        if (ec)
            return;
        onSignal(number);
        waitForSignal();
    });
}

void GatewayProcess::onSignal(int number)
{
    if (number == SIGHUP)
        reload(kSignalTrigger);
    else
        beginStop(number);
}

void GatewayProcess::reload(std::string_view trigger)
{
    m_settingsReadAt = m_loop.now();
    const auto read = m_watch.poll();
    if (!read) {
        // The file is polled often, so only an unnecessary signal is logged.
        if (trigger == kSignalTrigger)
            logEvent(LogLevel::Info, "settings_unchanged", {{"file", m_watch.path()}});
        return;
    }
    for (const auto &it : read->faults)
        logEvent(LogLevel::Warning, "settings_fault",
                 {{"file", m_watch.path()}, {"key", it.key}, {"fault", it.message}});
    if (!read->faults.empty())
        return;
    const auto later = keysRequiringRestart(m_settings, read->settings);
    apply(read->settings);
    logEvent(LogLevel::Info, "settings_reloaded",
             {{"file", m_watch.path()},
              {"trigger", trigger},
              {"after_restart", fmt::format("{}", fmt::join(later, ","))}});
}

void GatewayProcess::apply(const GatewaySettings &settings)
{
    setLogLevel(*valueOf(kLogLevelNames, settings.logLevel));
    m_settings.stopGrace = settings.stopGrace;
    m_gateway.applySettings(settings);
    m_settings.revokeWithin = settings.revokeWithin;
    m_settings.drainWithin = settings.drainWithin;
    updateReaderPace();
}

void GatewayProcess::pollSettings()
{
    if (m_loop.now() - m_settingsReadAt >= kSettingsPollInterval)
        reload(kFileTrigger);
}

void GatewayProcess::beginStop(int number)
{
    if (m_stopStartedAt != TimePoint{})
        return;
    m_stopStartedAt = m_loop.now();
    m_gateway.beginStop();
    m_relay.beginStop();
    if (m_duties)
        m_duties->beginStop();
    logEvent(LogLevel::Info, "gateway_stopping",
             {{"signal", number}, {"active", m_callerServer.activeRequests()}});
}

void GatewayProcess::continueStop()
{
    if (m_stopStartedAt == TimePoint{})
        return;
    const Duration since = m_loop.now() - m_stopStartedAt;
    if (since < kDeregistrationDelay)
        return;
    if (!m_stoppedAccepting) {
        m_stoppedAccepting = true;
        m_callerServer.stopAccepting();
        m_gateway.refuseNew();
    }
    m_callerServer.closeIdle();
    const bool isGraceOver = since > m_settings.stopGrace - kExitMargin;
    if (isGraceOver && !std::exchange(m_hasEndedRequests, true)) {
        // Their answers are sent until the next tick.
        m_gateway.endRequests();
        m_callerServer.refuseUnfinished(nameOf(Reason::Draining));
        return;
    }
    if (isGraceOver || m_callerServer.connections() == 0)
        m_loop.stop();
}

void GatewayProcess::tick()
{
    continueStop();
    updateReaderPace();
    pollSettings();
    m_memory.write(m_metrics);
    flushLog();
    m_loop.after(kTickInterval, [this] { tick(); });
}

} // namespace hawthornslip
