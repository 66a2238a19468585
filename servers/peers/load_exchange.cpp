#include "servers/peers/load_exchange.h"

#include "servers/peers/load_report_codec.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

// The interval between a node's reports grows by this for each peer, so that a node receives at
// most about 250 reports per second at any number of nodes.
constexpr Duration kReportIntervalPerPeer = milliseconds(4);
constexpr Duration kMinReportInterval = milliseconds(25);
// An idle node reports too, as a heartbeat.
constexpr Duration kIdleReportInterval = seconds(1);
constexpr Duration kTickInterval = milliseconds(500);
constexpr Duration kAnnounceRetryDelay = milliseconds(700);

} // namespace

LoadExchange::LoadExchange(LoadExchangeParts parts, std::string address, Collect collect,
                           PeerLoadSink &sink, std::uint64_t seed)
    : m_parts(parts)
    , m_address(std::move(address))
    , m_collect(std::move(collect))
    , m_loads(sink)
    , m_peers(m_address)
    , m_random(seed)
    , m_boot(m_random())
{}

void LoadExchange::start()
{
    m_parts.transport.setReceiver([this](const std::string &bytes) { receive(bytes); });
    m_parts.loop.after(kTickInterval, [this] { tick(); });
}

void LoadExchange::onLoadChanged()
{
    if (!m_reportScheduled && m_peers.size() > 0)
        scheduleReport();
}

void LoadExchange::scheduleReport()
{
    m_reportScheduled = true;
    const Duration since = m_parts.loop.now() - m_reportedAt;
    m_parts.loop.after(std::max(Duration(0), reportInterval() - since), [this] {
        m_reportScheduled = false;
        sendReport();
    });
}

Duration LoadExchange::reportInterval() const
{
    const auto peers = static_cast<std::int64_t>(m_peers.size());
    return std::max<Duration>(kMinReportInterval, kReportIntervalPerPeer * peers);
}

void LoadExchange::sendReport()
{
    m_reportedAt = m_parts.loop.now();
    PeerReport report;
    report.node = m_address;
    report.boot = m_boot;
    report.sequence = ++m_sequence;
    m_collect(report);
    report.loads = m_filter.select(report.loads);
    const std::string bytes = encodeReport(report);
    for (const auto &[address, sign] : m_peers.lastHeard())
        m_parts.transport.send(NodeId(address), bytes);
    const auto sent = static_cast<double>(m_peers.size());
    m_parts.metrics.count(metric::kPeerMessages, {{"direction", "sent"}, {"kind", "load"}}, sent);
    m_parts.metrics.count(metric::kPeerBytes, {{"direction", "sent"}, {"kind", "load"}},
                          sent * static_cast<double>(bytes.size()));
}

void LoadExchange::receive(const std::string &bytes)
{
    const auto report = decodeReport(bytes);
    const std::string_view result = report ? "load" : "unreadable";
    m_parts.metrics.count(metric::kPeerMessages, {{"direction", "received"}, {"kind", result}});
    if (!report || report->node == m_address)
        return;
    m_peers.onHeard(report->node, m_parts.loop.now());
    m_loads.onReport(*report, m_parts.loop.now());
}

void LoadExchange::tick()
{
    m_loads.expire(m_parts.loop.now());
    removeExpiredPeers();
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
