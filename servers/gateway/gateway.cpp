#include "servers/gateway/gateway.h"

#include "modules/ownership/rendezvous_hash.h"
#include "servers/gateway/exchange.h"

namespace hawthornslip {

namespace {

KeyTrustPolicy keyTrust(const GatewaySettings &settings)
{
    return {settings.failClosed, settings.revokeWithin};
}

DirectoryTimes directoryTimes(const GatewaySettings &settings)
{
    DirectoryTimes times;
    times.drainWithin = settings.drainWithin;
    return times;
}

// Lines a second for single requests. A line costs a few microseconds, so both together stay
// within a thousandth of a small machine's share of a core.
constexpr double kPlainLinesPerSecond = 20;
constexpr double kFailureLinesPerSecond = 50;
constexpr double kLinesBurst = 100;
// Engines read about a thousand tokens in this time.
constexpr Duration kFirstTryLoss = milliseconds(30);
constexpr Duration kPumpPause = milliseconds(15);
// Held requests that are offered a place in one round; each costs a look at all upstreams.
constexpr std::size_t kMaxKept = 32;

} // namespace

Gateway::Gateway(GatewayParts parts, const GatewaySettings &settings, std::uint64_t seed)
    : m_parts(parts)
    , m_settings(settings)
    , m_state(parts.loop, parts.metrics, keyTrust(settings), directoryTimes(settings))
    , m_random(seed)
    , m_plainLines(kPlainLinesPerSecond, kLinesBurst, parts.loop.now())
    , m_failureLines(kFailureLinesPerSecond, kLinesBurst, parts.loop.now())
{}

Gateway::~Gateway() = default;

std::shared_ptr<CallerEvents> Gateway::onRequest(HttpRequest request,
                                                 std::shared_ptr<ResponseWriter> writer)
{
    auto exchange = std::make_shared<Exchange>(*this, std::move(request), std::move(writer));
    exchange->start();
    return exchange;
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

void Gateway::applySettings(const GatewaySettings &settings)
{
    m_settings = settings;
    m_state.setBounds(keyTrust(settings), directoryTimes(settings));
    for (auto &[name, lane] : m_lanes)
        lane->repeats.setRatio(settings.retryRatio);
}

bool Gateway::isReady() const
{
    if (m_stopping || !m_state.isComplete())
        return false;
    return !m_state.config().table()->requiresApiKeys() || m_state.mayTrustKeys();
}

ServiceLane &Gateway::lane(const std::string &service)
{
    auto &lane = m_lanes[service];
    if (!lane)
        lane = std::make_unique<ServiceLane>(
                service, SlidingWindowRetryBudget(m_settings.retryRatio, m_settings.retryWindow),
                m_random());
    auto &directory = m_state.upstreams();
    const TimePoint now = m_parts.loop.now();
    directory.expire(now);
    if (lane->directoryRevision != directory.revision()) {
        lane->directoryRevision = directory.revision();
        lane->balancer.setUpstreams(directory.usable(service, now));
    }
    return *lane;
}

void Gateway::onPeerLoad(const LoadChange &change)
{
    const TimePoint now = m_parts.loop.now();
    for (auto &[name, lane] : m_lanes)
        lane->balancer.onPeerLoad(change, now);
}

void Gateway::onPeerDemand(std::uint64_t service, const NodeDemand &added)
{
    for (auto &[name, lane] : m_lanes) {
        if (rendezvousMemberHash(name) == service)
            lane->balancer.onPeerDemand(added, m_parts.loop.now());
    }
}

void Gateway::collectLoads(PeerReport &report) const
{
    for (const auto &[name, lane] : m_lanes) {
        const auto loads = lane->balancer.nodeLoads();
        report.loads.insert(report.loads.end(), loads.begin(), loads.end());
        report.demands.emplace_back(rendezvousMemberHash(name), lane->balancer.nodeDemand());
    }
}

void Gateway::noteLoadChanged()
{
    if (m_loadChanged)
        m_loadChanged();
}

Duration Gateway::spentBefore(const std::string &route, Duration left)
{
    auto &longest = m_callerTimes[route];
    longest = std::max(longest, left);
    // Callers' clocks and the way here cost a little of a first try, too.
    return longest - left > kFirstTryLoss ? longest - left : Duration(0);
}

void Gateway::pumpLater(ServiceLane &lane)
{
    if (lane.pumpScheduled)
        return;
    lane.pumpScheduled = true;
    m_parts.loop.after(kPumpPause, [this, &lane] {
        lane.pumpScheduled = false;
        this->lane(lane.name);
        lane.held.trySendAll(kMaxKept);
        if (lane.held.size() > 0)
            pumpLater(lane);
    });
}

bool Gateway::mayLogRequest(LogLevel level)
{
    auto &bucket = level >= LogLevel::Warning ? m_failureLines : m_plainLines;
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
