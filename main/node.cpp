#include "main/node.h"

#include "core/file_text.h"
#include "core/logger.h"
#include "core/metric_names.h"
#include "drivers/object_store/http_object_store.h"
#include "drivers/object_store/memory_object_store.h"
#include "drivers/vm_list/http_vm_list.h"
#include "servers/caller/connection_ends.h"

#include <fmt/format.h>
#include <sodium.h>

#include <thread>

namespace hawthornslip {

namespace {

constexpr auto kDrainPollInterval = std::chrono::milliseconds(20);
// Longest wait on stop for outcomes to be stored. An outcome that is not stored by then is reported
// as unknown after a restart.
constexpr Duration kOutcomeStoreTimeout = seconds(5);
// Longest wait on stop for refusals that are being sent.
constexpr Duration kLastAnswersTimeout = seconds(1);
// Longest wait on stop for calls of operators; a write to the store is answered or given up by
// then.
constexpr Duration kOperatorTimeout = seconds(10);
constexpr Duration kInitialConfigInterval = milliseconds(250);
constexpr Duration kHousekeepingInterval = seconds(1);

NodeId nodeIdOf(const ListenAddress &address)
{
    return NodeId(fmt::format("{}:{}", address.ip, address.port));
}

std::uint64_t newIncarnation(const Clock &clock)
{
    // Time in microseconds, so that each start has a higher value. The part below a millisecond is
    // random, which distinguishes two processes started in the same millisecond by mistake.
    constexpr std::uint64_t kMicrosPerMilli = 1000;
    return static_cast<std::uint64_t>(clock.wallNow()) * kMicrosPerMilli +
           randombytes_uniform(kMicrosPerMilli);
}

std::uint64_t newSeed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof(seed));
    return seed;
}

std::unique_ptr<ObjectStore> makeStore(const PlatformSettings &settings, UpstreamClient &client,
                                       Metrics &metrics)
{
    if (settings.objectStoreUrl.empty())
        return std::make_unique<MemoryObjectStore>();
    return std::make_unique<HttpObjectStore>(client, metrics, settings.objectStoreUrl,
                                             settings.storeTimeout);
}

PathSettings pathSettings(const CallerSettings &settings)
{
    PathSettings path;
    path.maxBodyBytes = settings.maxBodyBytes;
    path.relayBufferBytes = settings.relayBufferBytes;
    return path;
}

} // namespace

Node::Node(const Settings &settings)
    : m_settings(settings)
    , m_incarnation(newIncarnation(m_clock))
    , m_loop(m_clock)
    , m_platformClient(std::make_unique<CurlUpstreamClient>(settings.platform.caFile))
    , m_upstreamClient(std::make_unique<CurlUpstreamClient>(settings.platform.caFile))
    , m_store(makeStore(settings.platform, *m_platformClient, m_metrics))
    , m_platformVms(makeVmList(settings, *m_platformClient))
    , m_vmList(*m_platformVms, m_config,
               [this](auto leaving) { m_admission.setLeavingUpstreams(std::move(leaving)); })
    , m_transport(settings.peer)
    , m_bus(m_loop, m_transport, m_metrics, nodeIdOf(settings.peer.listen), m_incarnation)
    , m_membership(m_loop, m_bus, m_transport, m_vmList, m_metrics, newSeed(),
                   membershipOptions(settings))
    , m_config(m_loop, m_bus, m_membership, *m_store, m_metrics, m_clock, newSeed())
    , m_claims(m_loop, m_bus, m_membership, *m_store, m_metrics, m_clock, newSeed())
    , m_placement(m_loop, m_bus, m_membership, *m_store, *m_platformClient, m_config, m_metrics,
                  [this] { return m_admission.demand(); })
    , m_placedConfig(m_config, m_placement)
    , m_admission(m_loop, m_bus, m_membership, m_placedConfig, m_metrics,
                  {settings.domain, settings.schedulingPolicy})
    , m_answers(PathSettings{}.answerStoreBytes, PathSettings{}.storedAnswerMaxAge)
    , m_path(PathServices{m_clock, m_metrics, m_config, m_admission, m_claims, *m_upstreamClient,
                          m_retries, m_rates, m_answers, pathSettings(settings.caller)})
    , m_caller(m_path,
               {[this] { return isReadyForCallers(); }, [this] { return m_metrics.serialize(); }})
    , m_callerServer(callerServer(settings.caller))
    , m_operatorServer(operatorServer(settings.operators))
    , m_operatorBackend(m_loop, m_config, m_membership, m_bus.self(), [this] { return facts(); })
    , m_operators(m_operatorServer, m_operatorBackend, settings.operators.keyHashes)
    , m_lifecycle(m_loop, m_bus, m_membership, m_config, settings.stop.balancerNotice,
                  {[this] { return activeWork(); }, {}})
{
    m_caller.registerRoutes(m_callerServer);
    recordConnectionEnds(m_callerServer, m_metrics, m_clock, "callers");
    recordConnectionEnds(m_operatorServer, m_metrics, m_clock, "operators");
    m_config.setStatusProvider([this] {
        const auto known = facts();
        return NodeFacts{m_config.generation(), known.phase,
                         static_cast<std::uint32_t>(known.streams)};
    });
    m_membership.subscribe([this] { m_rates.setLiveNodes(m_membership.liveNodes().size()); });
}

Node::~Node()
{
    if (m_started)
        stopThreads();
}

void Node::stopThreads()
{
    m_callerServer.stop(Duration{0});
    m_operatorServer.stop(Duration{0});
    m_loop.stop();
    m_transport.stop();
    m_upstreamClient.reset();
    m_platformClient.reset();
    m_store.reset();
    m_started = false;
}

HttpServerSettings Node::callerServer(const CallerSettings &settings)
{
    HttpServerSettings server;
    server.listen = settings.listen;
    server.tls = settings.tls;
    server.maxConnections = settings.maxConnections;
    server.maxBodyBytes = settings.maxBodyBytes;
    server.maxHeaderBytes = settings.maxHeaderBytes;
    return server;
}

HttpServerSettings Node::operatorServer(const OperatorSettings &settings)
{
    constexpr std::uint32_t kOperatorConnections = 32;
    HttpServerSettings server;
    server.listen = settings.listen;
    server.tls = settings.tls;
    server.maxConnections = kOperatorConnections;
    return server;
}

MembershipServiceOptions Node::membershipOptions(const Settings &settings)
{
    MembershipServiceOptions options;
    options.domain = settings.domain;
    options.region = settings.region;
    options.seeds = settings.peer.seeds;
    return options;
}

std::unique_ptr<VmList> Node::makeVmList(const Settings &settings, UpstreamClient &client)
{
    if (settings.platform.vmListUrl.empty())
        return std::make_unique<StaticVmList>(settings.peer.seeds);
    return std::make_unique<HttpVmList>(client, settings.platform.vmListUrl,
                                        settings.platform.storeTimeout);
}

bool Node::start()
{
    m_loop.start();
    m_started = true;
    bool bound = true;
    boost::leaf::try_handle_all([this] { return m_transport.start(); }, [&] { bound = false; });
    if (!bound) {
        logEvent(LogLevel::Error, "peer_listen_failed", {{"address", id().value}});
        return false;
    }
    m_loop.run([this] { m_admission.start(); });
    m_membership.start();
    m_config.start();
    m_lifecycle.start();
    scheduleHousekeeping();
    return startListeners();
}

bool Node::startListeners()
{
    if (!m_operatorServer.start()) {
        logEvent(LogLevel::Error, "operator_listen_failed",
                 {{"port", m_settings.operators.listen.port}});
        return false;
    }
    if (!m_callerServer.start()) {
        logEvent(LogLevel::Error, "caller_listen_failed",
                 {{"port", m_settings.caller.listen.port}});
        return false;
    }
    return true;
}

void Node::scheduleHousekeeping()
{
    m_loop.every(kInitialConfigInterval, [this] { submitInitialConfigIfMissing(); });
    m_loop.every(kHousekeepingInterval, [this] {
        m_metrics.gauge(metric::kInFlight, {}, static_cast<double>(m_caller.inFlight()));
    });
}

void Node::submitInitialConfigIfMissing()
{
    const bool isMissing = m_config.storeAnswered() && !m_config.storeHasDocument() &&
                           m_config.generation() == 0 && !m_settings.initialConfigFile.empty();
    if (!isMissing || m_initialConfigSubmitted)
        return;
    m_initialConfigSubmitted = true;
    submitInitialConfig();
}

void Node::submitInitialConfig()
{
    const auto text = readFileText(m_settings.initialConfigFile);
    if (!text) {
        logEvent(LogLevel::Error, "initial_config_unreadable",
                 {{"file", m_settings.initialConfigFile}});
        return;
    }
    m_config.apply(*text, [this](const ApplyResultInfo &result) {
        // When several nodes start at once, one document is accepted and the other nodes read it.
        if (result.status == ApplyStatus::Accepted || result.status == ApplyStatus::Conflict)
            return;
        logEvent(LogLevel::Error, "initial_config_refused",
                 {{"file", m_settings.initialConfigFile},
                  {"fault", result.faults.empty() ? "" : result.faults.front().path}});
        m_initialConfigSubmitted = result.status == ApplyStatus::Invalid;
    });
}

NodeOperatorBackend::Facts Node::facts() const
{
    return {std::string(nameOf(kNodePhaseNames, m_lifecycle.phase())), m_caller.inFlight()};
}

bool Node::isReadyForCallers() const
{
    // A new deployment has no configuration; its node serves operators, but no callers yet.
    return m_lifecycle.phase() == NodePhase::Ready && m_config.current()->generation > 0;
}

std::size_t Node::activeWork()
{
    const std::size_t requests = m_caller.inFlight() + m_callerServer.activeRequests();
    if (requests > 0 || m_lifecycle.phase() != NodePhase::Draining) {
        m_idleSince.reset();
        return requests;
    }
    if (!m_idleSince)
        m_idleSince = m_clock.now();
    const bool waitForOutcomes = m_clock.now() - *m_idleSince < kOutcomeStoreTimeout;
    return waitForOutcomes ? m_claims.heldCount() : 0;
}

void Node::stop()
{
    m_lifecycle.requestStop();
    // Accepts requests until the load balancer has had time to detect the failed readiness check.
    while (m_lifecycle.phase() < NodePhase::Draining || m_lifecycle.takesRequests())
        std::this_thread::sleep_for(kDrainPollInterval);
    m_caller.setDraining(true);
    m_callerServer.stopAccepting();
    while (m_lifecycle.phase() != NodePhase::Stopped)
        std::this_thread::sleep_for(kDrainPollInterval);
    m_loop.run([this] { m_placement.stop(); });
    m_callerServer.stop(kLastAnswersTimeout);
    m_operatorBackend.endWaits();
    m_operatorServer.stop(kOperatorTimeout);
    stopThreads();
}

} // namespace hawthornslip
