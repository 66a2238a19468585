#include "servers/peers/load_exchange.h"

#include "core/logger.h"
#include "servers/peers/load_report_codec.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

// An idle node reports too, as a heartbeat.
constexpr Duration kIdleReportInterval = seconds(1);
constexpr Duration kTickInterval = milliseconds(500);
// After this time without a summary, reports of single nodes of a failure domain count again.
constexpr Duration kSummaryTimeout = seconds(3);
constexpr std::string_view kSummaryKeyPrefix = "domain ";
constexpr Duration kAnnounceRetryDelay = milliseconds(700);
constexpr Duration kTrafficLogInterval = seconds(5);
constexpr std::string_view kLoadKind = "load";
constexpr std::string_view kSummaryKind = "summary";
constexpr std::string_view kForwardedKind = "forwarded_summary";
constexpr std::string_view kUsageKind = "usage";

} // namespace

LoadExchange::LoadExchange(LoadExchangeParts parts, NodeEntry self, Collect collect,
                           PeerLoadSink &sink, std::uint64_t seed)
    : m_parts(parts)
    , m_address(std::move(self.address))
    , m_domain(std::move(self.domain))
    , m_collect(std::move(collect))
    , m_loads(sink)
    , m_peers(m_address)
    , m_random(seed)
    , m_boot(m_random())
{}

void LoadExchange::start()
{
    m_parts.transport.setReceiver([this](const std::string &bytes) { receive(bytes); });
    updatePlan();
    m_parts.loop.after(kTickInterval, [this] { tick(); });
    m_parts.loop.after(kSummaryInterval, [this] { summarize(); });
}

void LoadExchange::onLoadChanged()
{
    m_loadChangedSinceSummary = true;
    if (!m_reportScheduled && m_peers.size() > 0)
        scheduleReport();
}

void LoadExchange::scheduleReport()
{
    m_reportScheduled = true;
    const Duration since = m_parts.loop.now() - m_reportedAt;
    m_parts.loop.after(std::max(Duration(0), m_plan.interval - since), [this] {
        m_reportScheduled = false;
        sendReport();
    });
}

void LoadExchange::updatePlan()
{
    std::vector<ReportPeer> peers;
    const TimePoint now = m_parts.loop.now();
    for (const auto &[address, heardAt] : m_peers.lastHeard())
        peers.push_back({address, domainOf(address), now - heardAt});
    const bool wasSummarizer = m_plan.isSummarizer;
    m_plan = planReports(m_address, m_domain, peers, m_planRound++);
    // What was sent as an earlier summarizer is not known any more at the other domains.
    if (m_plan.isSummarizer && !wasSummarizer)
        m_summaryFilter = {};
}

FailureDomain LoadExchange::domainOf(const std::string &address) const
{
    const auto it = m_domains.find(address);
    return it == m_domains.end() ? FailureDomain() : it->second;
}

PeerReport LoadExchange::makeReport()
{
    PeerReport report;
    report.node = m_address;
    report.domain = m_domain.value;
    report.boot = m_boot;
    report.sequence = ++m_sequence;
    m_collect(report);
    return report;
}

void LoadExchange::sendReport()
{
    m_reportedAt = m_parts.loop.now();
    PeerReport report = makeReport();
    report.loads = m_filter.select(report.loads);
    report.evidence =
            m_parts.evidence.evidenceForReport({m_plan.recipients.size(), m_peers.size() + 1});
    report.limits = m_parts.limits.limitsForReport();
    send(report, m_plan.recipients, kLoadKind);
}

void LoadExchange::summarize()
{
    if (m_plan.isSummarizer &&
        (m_loadChangedSinceSummary || m_parts.loop.now() - m_summarizedAt >= kIdleReportInterval))
        sendSummary();
    m_parts.loop.after(kSummaryInterval, [this] { summarize(); });
}

void LoadExchange::sendSummary()
{
    const TimePoint now = m_parts.loop.now();
    m_summarizedAt = now;
    m_loadChangedSinceSummary = false;
    PeerReport report = makeReport();
    report.isSummary = true;
    m_domainSum.addTo(report);
    report.loads = m_summaryFilter.select(report.loads);
    report.evidence = m_parts.evidence.evidenceForSummary();
    report.limits = m_parts.limits.limitsForSummary();
    if (now - m_heardNodesSentAt >= kIdleReportInterval) {
        m_heardNodesSentAt = now;
        for (const auto &it : m_plan.domainNodes)
            report.heardNodes.push_back(it.value);
    }
    for (std::size_t i = 0; i < kSumCopies; ++i) {
        report.copy = i;
        send(report, m_plan.summaryRecipients[i], kSummaryKind);
    }
}

void LoadExchange::send(const PeerReport &report, const std::vector<std::string> &recipients,
                        std::string_view kind)
{
    if (recipients.empty())
        return;
    const std::string bytes = encodeReport(report, m_parts.loop.now());
    for (const auto &it : recipients)
        m_parts.transport.send(NodeId(it), bytes);
    m_sentBytes[kind] += recipients.size() * bytes.size();
    const auto sent = static_cast<double>(recipients.size());
    m_parts.metrics.count(metric::kPeerMessages, {{"direction", "sent"}, {"kind", kind}}, sent);
    m_parts.metrics.count(metric::kPeerBytes, {{"direction", "sent"}, {"kind", kind}},
                          sent * static_cast<double>(bytes.size()));
}

void LoadExchange::sendUsage(const NodeId &to, const std::string &bytes)
{
    PeerReport report;
    report.node = m_address;
    report.domain = m_domain.value;
    report.boot = m_boot;
    report.usage = bytes;
    send(report, {to.value}, kUsageKind);
}

void LoadExchange::receive(const std::string &bytes)
{
    m_receivedBytes += bytes.size();
    auto report = decodeReport(bytes, m_parts.loop.now());
    const std::string_view result =
            !report ? "unreadable" : (report->isSummary ? "summary" : "load");
    m_parts.metrics.count(metric::kPeerMessages, {{"direction", "received"}, {"kind", result}});
    if (!report || report->node == m_address)
        return;
    m_peers.onHeard(report->node, m_parts.loop.now());
    if (!report->usage.empty()) {
        if (m_usage != nullptr)
            m_usage->onPeerUsage(NodeId(report->node), report->boot, report->usage);
        return;
    }
    const bool isOwnDomain = !report->isSummary && report->domain == m_domain.value;
    const NewsOrigin origin = isOwnDomain ? NewsOrigin::OwnDomain : NewsOrigin::OtherDomain;
    m_parts.evidence.onPeerEvidence(report->evidence, origin);
    m_parts.limits.onPeerLimits(report->limits, origin);
    if (report->isSummary)
        onSummary(std::move(*report));
    else
        onNodeReport(*report);
}

void LoadExchange::onNodeReport(const PeerReport &report)
{
    const TimePoint now = m_parts.loop.now();
    if (report.domain == m_domain.value) {
        m_domainLoads.onReport(report, now);
        m_loadChangedSinceSummary = true;
    } else if (isSummarized(FailureDomain(report.domain))) {
        // Its loads are part of the summary.
        return;
    }
    m_loads.onReport(report, now);
}

void LoadExchange::onSummary(PeerReport report)
{
    const FailureDomain domain(report.domain);
    if (domain == m_domain || domain.value.empty())
        return;
    const TimePoint now = m_parts.loop.now();
    for (const auto &it : report.heardNodes) {
        if (domainOf(it) == domain)
            m_peers.onHeard(it, now);
    }
    m_summaryHeardAt[domain] = now;
    for (const auto &[address, of] : m_domains) {
        if (of == domain)
            m_loads.forget(address);
    }
    forward(report);
    report.node = std::string(kSummaryKeyPrefix) + domain.value;
    m_loads.onReport(report, now);
}

void LoadExchange::forward(PeerReport report)
{
    const FailureDomain source(report.domain);
    if (!m_forwardedSums.isNew(source, report.copy, report.boot, report.sequence))
        return;
    const SumTree tree(source, report.copy, m_plan.domainNodes);
    auto recipients = tree.childrenOf(NodeId(m_address));
    // The other domain's view of who is heard is older than this one's.
    const bool isEntry = !std::exchange(report.isForwarded, true);
    if (isEntry && tree.root() != nullptr && tree.root()->value != m_address)
        recipients.push_back(tree.root()->value);
    send(report, recipients, kForwardedKind);
}

bool LoadExchange::isSummarized(const FailureDomain &domain) const
{
    const auto it = m_summaryHeardAt.find(domain);
    return it != m_summaryHeardAt.end() && m_parts.loop.now() - it->second < kSummaryTimeout;
}

void LoadExchange::logTraffic()
{
    const TimePoint now = m_parts.loop.now();
    if (now - m_trafficLoggedAt < kTrafficLogInterval)
        return;
    const Duration span = now - std::exchange(m_trafficLoggedAt, now);
    const std::size_t received = std::exchange(m_receivedBytes, 0);
    if (span < 2 * kTrafficLogInterval && (received > 0 || !m_sentBytes.empty()))
        logEvent(LogLevel::Info, "peer_traffic",
                 {{"span_ms", toMillis(span)},
                  {"load_bytes", m_sentBytes[kLoadKind]},
                  {"summary_bytes", m_sentBytes[kSummaryKind]},
                  {"forwarded_bytes", m_sentBytes[kForwardedKind]},
                  {"received_bytes", received},
                  {"recipients", m_plan.recipients.size()},
                  {"summarizer", m_plan.isSummarizer}});
    m_sentBytes.clear();
}

void LoadExchange::tick()
{
    logTraffic();
    m_loads.expire(m_parts.loop.now());
    m_domainLoads.expire(m_parts.loop.now());
    removeExpiredPeers();
    updatePlan();
    if (m_parts.loop.now() - m_reportedAt >= kIdleReportInterval && !m_reportScheduled)
        sendReport();
    m_parts.loop.after(kTickInterval, [this] { tick(); });
}

void LoadExchange::onList(const std::vector<FeedItem<NodeEntry>> &items)
{
    std::vector<std::string> addresses;
    m_domains.clear();
    for (const auto &it : items) {
        if (!it.value)
            continue;
        addresses.push_back(it.value->address);
        m_domains[it.value->address] = it.value->domain;
    }
    m_peers.replaceAll(addresses, m_parts.loop.now());
    const bool listed = std::find(addresses.begin(), addresses.end(), m_address) != addresses.end();
    logEvent(LogLevel::Info, "peers_listed", {{"peers", m_peers.size()}, {"self", listed}});
    updatePlan();
    if (!listed)
        announce();
    if (m_listRead)
        m_listRead();
}

void LoadExchange::onChange(const FeedItem<NodeEntry> &item)
{
    const std::string address = item.value ? item.value->address : item.name;
    if (address == m_address) {
        if (item.removed)
            announce();
    } else if (item.removed) {
        m_peers.remove(address);
        m_domains.erase(address);
    } else {
        m_peers.add(address, m_parts.loop.now());
        if (item.value)
            m_domains[address] = item.value->domain;
    }
    updatePlan();
}

std::vector<std::string> LoadExchange::livePeers(const FailureDomain &domain) const
{
    std::vector<std::string> live;
    for (const auto &it : m_peers.reachable(m_parts.loop.now())) {
        const auto found = m_domains.find(it);
        if (found != m_domains.end() && found->second == domain)
            live.push_back(it);
    }
    return live;
}

void LoadExchange::removeExpiredPeers()
{
    for (const auto &it : m_peers.peersToRemove(m_parts.loop.now())) {
        logEvent(LogLevel::Info, "node_forgotten", {{"address", it}});
        m_peers.remove(it);
        m_parts.registry.deregister(it);
    }
}

void LoadExchange::announce()
{
    if (std::exchange(m_announcing, true))
        return;
    m_parts.registry.announce(m_address, [this](bool done) {
        m_announcing = false;
        if (done) {
            logEvent(LogLevel::Info, "node_announced", {{"address", m_address}});
            return;
        }
        std::uniform_int_distribution<std::int64_t> jitter(kAnnounceRetryDelay.count() / 2,
                                                           kAnnounceRetryDelay.count());
        m_parts.loop.after(Duration(jitter(m_random)), [this] { announce(); });
    });
}

} // namespace hawthornslip
