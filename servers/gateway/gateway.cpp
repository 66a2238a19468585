#include "servers/gateway/gateway.h"

#include "core/logger.h"
#include "modules/ownership/rendezvous_hash.h"
#include "servers/gateway/exchange.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

KeyTrustPolicy keyTrust(const GatewaySettings &settings)
{
    return {settings.failClosed, settings.revokeWithin};
}

Duration longestTimeout(const RoutingConfig &config)
{
    Duration longest{0};
    for (const auto &it : config.routes)
        longest = std::max(longest, it.timeout);
    return longest;
}

DirectoryTimes directoryTimes(const GatewaySettings &settings)
{
    DirectoryTimes times;
    times.drainWithin = settings.drainWithin;
    times.heartbeat = settings.upstreamHeartbeat;
    return times;
}

// Log lines per second about single requests. A line costs a few microseconds, so both rates
// together stay within a thousandth of a small machine's share of a core.
constexpr double kInfoLinesPerSecond = 20;
constexpr double kWarningLinesPerSecond = 50;
constexpr double kLinesBurst = 100;
// Part of the caller's timeout that a first attempt loses to clock skew and network latency.
// Engines prefill about a thousand tokens in this time.
constexpr Duration kFirstAttemptOverhead = milliseconds(30);
constexpr Duration kHoldQueueInterval = milliseconds(15);
// A run over the hold queue ends after this many requests that found no room, as each of them
// compares all upstreams.
constexpr std::size_t kMaxHeldPerRun = 32;

} // namespace

Gateway::Gateway(GatewayParts parts, const GatewaySettings &settings, std::uint64_t seed)
    : m_parts(parts)
    , m_settings(settings)
    , m_state(parts.loop, parts.metrics, keyTrust(settings), directoryTimes(settings))
    , m_random(seed)
    , m_promptGuard(parts.loop, parts.probe, m_random())
    , m_upstreamLimits(parts.loop,
                       [this](std::uint64_t upstream, std::optional<double> requestsPerSecond) {
                           setRequestLimit(upstream, requestsPerSecond);
                       })
    , m_versions(parts.loop, m_random())
    , m_infoLines(kInfoLinesPerSecond, kLinesBurst, parts.loop.now())
    , m_warningLines(kWarningLinesPerSecond, kLinesBurst, parts.loop.now())
{
    m_promptGuard.setListing(
            [this](const UpstreamEntry &entry) { return m_state.upstreams().listing(entry); });
    m_versions.setRefresh([this] { refreshVersions(); });
    m_state.onChanged([this] {
        refreshVersions();
        if (const auto &table = m_state.config().table())
            m_versions.setLongestTimeout(longestTimeout(table->config()));
    });
    m_promptGuard.onUpstreamEnded([this](std::uint64_t upstream, TimePoint endedAt) {
        m_state.upstreams().markEnded(upstream, endedAt, m_parts.loop.now());
    });
}

Gateway::~Gateway() = default;

void Gateway::refreshVersions()
{
    auto &upstreams = m_state.upstreams();
    upstreams.expire(m_parts.loop.now());
    if (std::exchange(m_versionsRevision, upstreams.revision()) != upstreams.revision())
        m_versions.onUpstreams(upstreams.entries());
}

std::shared_ptr<CallerEvents> Gateway::onRequest(HttpRequest request,
                                                 std::shared_ptr<ResponseWriter> writer)
{
    auto exchange = std::make_shared<Exchange>(*this, std::move(request), std::move(writer));
    m_open.emplace(exchange.get(), exchange);
    exchange->start();
    return exchange;
}

void Gateway::endRequests()
{
    const auto open = std::exchange(m_open, {});
    if (!open.empty())
        logEvent(LogLevel::Warning, "requests_ended_by_stop", {{"requests", open.size()}});
    for (const auto &[key, it] : open) {
        if (const auto exchange = it.lock())
            exchange->end(Reason::Draining);
    }
}

CallerLimits Gateway::limits() const
{
    const auto &table = m_state.config().table();
    return table ? table->config().limits : CallerLimits();
}

void Gateway::onBadInput(int status, std::string_view cause)
{
    m_parts.metrics.count(metric::kRefusals, {{"reason", cause}, {"execution", "not_run"}});
    if (mayLogRequest(LogLevel::Warning))
        logEvent(LogLevel::Warning, "bad_input", {{"status", status}, {"cause", cause}});
}

void Gateway::onConnectionEnd(const ConnectionEnd &end)
{
    const auto cause = nameOf(kConnectionEndCauseNames, end.cause);
    const auto request = nameOf(kRequestAtEndNames, end.request);
    m_parts.metrics.count(metric::kCallerConnections, {{"cause", cause}, {"request", request}});
    if (isWithoutAnswer(end) && mayLogRequest(LogLevel::Warning))
        logEvent(LogLevel::Warning, "caller_connection_ended",
                 {{"cause", cause}, {"request", request}, {"bytes", end.bytes}});
}

void Gateway::applySettings(const GatewaySettings &settings)
{
    m_settings = settings;
    m_state.setBounds(keyTrust(settings), directoryTimes(settings));
    for (auto &[name, context] : m_services)
        context->retryBudget.setRatio(settings.retryRatio);
}

bool Gateway::isReady() const
{
    if (m_stopping || !m_state.isComplete())
        return false;
    return !m_state.config().table()->requiresApiKeys() || m_state.mayTrustKeys();
}

ServiceContext &Gateway::serviceContext(const std::string &service)
{
    auto &context = m_services[service];
    if (!context)
        context = std::make_unique<ServiceContext>(
                service, SlidingWindowRetryBudget(m_settings.retryRatio, m_settings.retryWindow),
                m_parts.loop, m_random());
    auto &directory = m_state.upstreams();
    const TimePoint now = m_parts.loop.now();
    directory.expire(now);
    if (context->directoryRevision != directory.revision()) {
        context->directoryRevision = directory.revision();
        context->balancer.setUpstreams(directory.usable(service, now));
        m_upstreamLimits.applyAll();
    }
    return *context;
}

void Gateway::onPeerLoad(const LoadChange &change)
{
    const TimePoint now = m_parts.loop.now();
    for (auto &[name, context] : m_services)
        context->balancer.onPeerLoad(change, now);
}

void Gateway::onPeerDemand(std::uint64_t service, const NodeDemand &added)
{
    for (auto &[name, context] : m_services) {
        if (rendezvousMemberHash(name) == service)
            context->balancer.onPeerDemand(added, m_parts.loop.now());
    }
}

std::vector<ScaledService> Gateway::scaledServices()
{
    std::vector<ScaledService> services;
    if (!m_state.isComplete())
        return services;
    for (const auto &it : m_state.config().table()->config().services) {
        // Without an upper bound nothing can be ordered.
        if (!it.scaling || it.scaling->maxUpstreams == 0)
            continue;
        // Creates the balancer, which sums the demand of the peers from then on.
        const ServiceContext &context = serviceContext(it.name);
        const ServiceBalancer &balancer = context.balancer;
        ScaledService service{it.name, *it.scaling, {}, {}, m_state.upstreams().listed(it.name)};
        const NodeDemand demand = balancer.totalDemand();
        service.demand = {demand.requests, demand.tolerantTokens + demand.sensitiveTokens,
                          balancer.totalSentTokens(), balancer.totalRunning(),
                          static_cast<std::uint32_t>(context.holdQueue.size())};
        service.rate.prefillTokens = it.engine ? balancer.peakPrefillRate() : 0;
        if (it.engine && it.engine->slots > 0)
            service.rate.slots = it.engine->slots;
        else if (!service.upstreams.empty())
            service.rate.slots = service.upstreams.front().slots;
        services.push_back(std::move(service));
    }
    return services;
}

void Gateway::onPeerUses(const std::string &sender, std::uint64_t service,
                         const std::vector<WorkspaceUse> &uses)
{
    for (auto &[name, context] : m_services) {
        if (rendezvousMemberHash(name) == service)
            context->shares.workspaces().setPeer(sender, uses, m_parts.loop.now());
    }
}

void Gateway::setRequestLimit(std::uint64_t upstream, std::optional<double> requestsPerSecond)
{
    for (auto &[name, context] : m_services)
        context->balancer.setRequestLimit(upstream, requestsPerSecond, m_parts.loop.now());
}

void Gateway::collectLoads(PeerReport &report) const
{
    for (const auto &[name, context] : m_services) {
        const auto loads = context->balancer.nodeLoads();
        report.loads.insert(report.loads.end(), loads.begin(), loads.end());
        const std::uint64_t service = rendezvousMemberHash(name);
        report.demands.emplace_back(service, context->balancer.nodeDemand());
        auto uses = context->shares.workspaces().usesForReport(m_parts.loop.now());
        if (!uses.empty())
            report.uses.emplace(service, std::move(uses));
    }
}

void Gateway::onUpstreamAnswer(const UpstreamId &upstream, const AnswerEvidence &answer)
{
    m_upstreamLimits.onAnswer(upstream, answer.meta());
    if (answer.isLeaving() && m_state.upstreams().markLeaving(upstream, m_parts.loop.now()))
        logEvent(LogLevel::Info, "upstream_leaving", {{"upstream", upstream.value}});
}

void Gateway::notifyLoadChanged()
{
    if (m_loadChanged)
        m_loadChanged();
}

Duration Gateway::spentBefore(const std::string &route, Duration left)
{
    auto &longest = m_callerTimeouts[route];
    longest = std::max(longest, left);
    // The first attempt also arrives with slightly less than the full timeout.
    return longest - left > kFirstAttemptOverhead ? longest - left : Duration(0);
}

void Gateway::scheduleHoldQueueRun(ServiceContext &context)
{
    if (context.holdQueueRunScheduled)
        return;
    context.holdQueueRunScheduled = true;
    m_parts.loop.after(kHoldQueueInterval, [this, &context] {
        context.holdQueueRunScheduled = false;
        this->serviceContext(context.name);
        context.holdQueue.trySendAll(kMaxHeldPerRun);
        if (context.holdQueue.size() > 0)
            scheduleHoldQueueRun(context);
    });
}

bool Gateway::mayLogRequest(LogLevel level)
{
    auto &bucket = level >= LogLevel::Warning ? m_warningLines : m_infoLines;
    if (bucket.tryTake(1, m_parts.loop.now())) {
        if (m_droppedLines > 0)
            logEvent(LogLevel::Info, "request_lines_dropped", {{"lines", m_droppedLines}});
        m_droppedLines = 0;
        return true;
    }
    ++m_droppedLines;
    return false;
}

} // namespace hawthornslip
