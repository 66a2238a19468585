#include "servers/peers/load_exchange.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/manual_loop.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <tuple>
#include <vector>

namespace hawthornslip::test {

namespace {

constexpr Duration kLatency = milliseconds(2);
constexpr std::uint64_t kUpstream = 77;

class ExchangeNode;

/** Nodes of several failure domains on one network in virtual time. */
class ExchangeCluster
{
public:
    ExchangeCluster(std::size_t nodes, std::size_t domains);

    /** @return the requests at the upstream that node @p i knows of, besides its own. */
    std::int64_t knownAt(std::size_t i) const;
    /** @return the number of nodes that know exactly @p running requests of all nodes. */
    std::size_t knowing(std::int64_t running) const;

    void setRunning(std::size_t i, std::uint32_t running);
    /** Node @p i neither sends nor receives anything from now on. */
    void silence(std::size_t i);

    ManualLoop loop;
    CountingMetrics metrics;
    std::vector<std::unique_ptr<ExchangeNode>> nodes;
    std::set<std::string> silent;
    std::map<std::string, ExchangeNode *> byAddress;
    double bytesBetweenDomains = 0;
    /** No message passes between failure domains. */
    bool areDomainsCut = false;
};

class ExchangeNode : public PeerTransport,
                     public NodeRegistry,
                     public PeerLoadSink,
                     public PeerEvidence,
                     public PeerLimits
{
public:
    ExchangeNode(ExchangeCluster &cluster, NodeEntry entry, std::uint64_t seed)
        : self(entry)
        , exchange(
                  {cluster.loop, *this, *this, cluster.metrics, *this, *this}, entry,
                  [this](PeerReport &report) {
                      report.loads = {{kUpstream, running, 0, {}}};
                      for (std::uint64_t i = 0; i < busyUpstreams; ++i)
                          report.loads.push_back({firstBusyUpstream + i, ++changes, 0, {changes}});
                  },
                  *this, seed)
        , m_cluster(cluster)
    {}

    void setReceiver(Receiver receiver) override { m_receiver = std::move(receiver); }
    void send(const NodeId &to, std::string bytes) override
    {
        if (m_cluster.silent.contains(self.address) || m_cluster.silent.contains(to.value))
            return;
        sentBytes += bytes.size();
        ExchangeNode *node = m_cluster.byAddress.at(to.value);
        if (node->self.domain != self.domain && m_cluster.areDomainsCut)
            return;
        if (node->self.domain != self.domain)
            m_cluster.bytesBetweenDomains += static_cast<double>(bytes.size());
        m_cluster.loop.after(kLatency, [node, bytes] { node->m_receiver(bytes); });
    }
    void disconnect(const NodeId &) override {}
    void announce(const std::string &, std::function<void(bool)> done) override { done(true); }
    void deregister(const std::string &) override {}
    void onPeerLoad(const LoadChange &change) override { peersRunning += change.running; }
    void onPeerDemand(std::uint64_t, const NodeDemand &) override {}
    void onPeerUses(const std::string &, std::uint64_t, const std::vector<WorkspaceUse> &) override
    {}
    CrashEvidence evidenceForReport(const ReportReceivers &) override { return {}; }
    CrashEvidence evidenceForSummary() override { return {}; }
    std::vector<LimitNotice> limitsForReport() override { return {}; }
    std::vector<LimitNotice> limitsForSummary() override { return {}; }
    void onPeerLimits(const std::vector<LimitNotice> &, NewsOrigin) override {}
    void onPeerEvidence(const CrashEvidence &, NewsOrigin) override {}

    NodeEntry self;
    std::uint32_t running = 0;
    /** Further upstreams, whose load changes with each report. */
    std::uint64_t busyUpstreams = 0;
    std::uint64_t firstBusyUpstream = kUpstream + 1;
    std::uint32_t changes = 0;
    std::size_t sentBytes = 0;
    std::int64_t peersRunning = 0;
    LoadExchange exchange;

private:
    ExchangeCluster &m_cluster;
    Receiver m_receiver;
};

ExchangeCluster::ExchangeCluster(std::size_t count, std::size_t domains)
{
    std::vector<FeedItem<NodeEntry>> items;
    for (std::size_t i = 0; i < count; ++i) {
        const NodeEntry entry{fmt::format("10.0.{}.{}:7000", i / 100, i % 100),
                              FailureDomain(fmt::format("domain-{}", i % domains))};
        nodes.push_back(std::make_unique<ExchangeNode>(*this, entry, i + 1));
        byAddress[entry.address] = nodes.back().get();
        items.push_back({entry.address, false, entry, ""});
    }
    for (auto &it : nodes) {
        it->exchange.start();
        it->exchange.onList(items);
    }
    loop.advance(seconds(3));
}

std::int64_t ExchangeCluster::knownAt(std::size_t i) const
{
    return nodes[i]->peersRunning;
}

std::size_t ExchangeCluster::knowing(std::int64_t running) const
{
    std::size_t count = 0;
    for (const auto &it : nodes)
        count += it->peersRunning + it->running == running ? 1 : 0;
    return count;
}

void ExchangeCluster::setRunning(std::size_t i, std::uint32_t running)
{
    nodes[i]->running = running;
    nodes[i]->exchange.onLoadChanged();
}

void ExchangeCluster::silence(std::size_t i)
{
    silent.insert(nodes[i]->self.address);
}

} // namespace

class LoadExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadExchangeTest);
    CPPUNIT_TEST(loadReachesAllNodesOnce);
    CPPUNIT_TEST(trafficBetweenDomainsDoesNotGrowWithTheSquare);
    CPPUNIT_TEST(sumsDoNotFillTheLinkOfOneNode);
    CPPUNIT_TEST(lostSummarizersAreReplaced);
    CPPUNIT_TEST(domainsExchangeSumsAgainAfterACut);
    CPPUNIT_TEST(silentNodeIsSubtractedOnce);
    CPPUNIT_TEST(usageMessagesDoNotChangeLoads);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against loads that are counted twice, as a node's own report and within a sum, and
    // against loads that are unknown in other domains for as long as reports to all nodes take.
    void loadReachesAllNodesOnce()
    {
        for (const std::size_t count : {9U, 60U, 195U}) {
            ExchangeCluster cluster(count, 5);
            std::int64_t sum = 0;
            for (std::size_t i = 0; i < count; ++i) {
                cluster.setRunning(i, static_cast<std::uint32_t>(i % 7));
                sum += static_cast<std::int64_t>(i % 7);
            }
            const Duration direct = milliseconds(4) * static_cast<std::int64_t>(count);
            cluster.loop.advance(direct + milliseconds(25));
            CPPUNIT_ASSERT_EQUAL(count, cluster.knowing(sum));
            cluster.loop.advance(seconds(5));
            CPPUNIT_ASSERT_EQUAL(count, cluster.knowing(sum));
        }
    }

    // Guards against reports from each node to each other one: with 195 nodes these were nearly all
    // bytes between the users' failure domains.
    void trafficBetweenDomainsDoesNotGrowWithTheSquare()
    {
        const double few = bytesFor(100);
        const double many = bytesFor(300);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{:.0f} and {:.0f} bytes", few, many), many <= 3 * few);
    }

    // Guards against a node whose link is full of the sums that it passes on to its whole domain.
    void sumsDoNotFillTheLinkOfOneNode()
    {
        ExchangeCluster cluster(84, 4);
        // The nodes of a domain together use each of 126 upstreams.
        for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
            cluster.nodes[i]->busyUpstreams = 6;
            cluster.nodes[i]->firstBusyUpstream += i / 4 * 6;
        }
        for (const auto &it : cluster.nodes)
            it->sentBytes = 0;
        constexpr int kSeconds = 5;
        for (int i = 0; i < kSeconds * 4; ++i) {
            for (const auto &it : cluster.nodes)
                it->exchange.onLoadChanged();
            cluster.loop.advance(kSummaryInterval);
        }
        std::size_t most = 0;
        for (const auto &it : cluster.nodes)
            most = std::max(most, it->sentBytes);
        constexpr std::size_t kMaxBytesPerSecond = 150'000;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes a second", most / kSeconds),
                               most / kSeconds <= kMaxBytesPerSecond);
    }

    // Guards against sums that stop, or count double, when the nodes that send or pass them on are
    // lost.
    void lostSummarizersAreReplaced()
    {
        ExchangeCluster cluster(195, 5);
        for (std::size_t i = 0; i < 195; ++i)
            cluster.setRunning(i, 1);
        cluster.loop.advance(seconds(2));
        // A third of the nodes of each domain, summarizers and recipients among them.
        std::size_t left = 195;
        for (std::size_t i = 0; i < 65; ++i) {
            cluster.silence(i);
            --left;
        }
        cluster.loop.advance(seconds(8));
        std::size_t right = 0;
        for (std::size_t i = 65; i < 195; ++i)
            right += cluster.knownAt(i) == static_cast<std::int64_t>(left) - 1 ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(left, right);
    }

    // Guards against domains that each wait to hear the other one before they send a sum.
    void domainsExchangeSumsAgainAfterACut()
    {
        ExchangeCluster cluster(84, 4);
        for (std::size_t i = 0; i < 84; ++i)
            cluster.setRunning(i, 1);
        cluster.areDomainsCut = true;
        cluster.loop.advance(seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{20}, cluster.knownAt(0));
        cluster.areDomainsCut = false;
        cluster.loop.advance(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{84}, cluster.knowing(84));
    }

    void silentNodeIsSubtractedOnce()
    {
        ExchangeCluster cluster(195, 5);
        cluster.setRunning(4, 10);
        cluster.loop.advance(seconds(1));
        cluster.silence(4);
        cluster.loop.advance(seconds(6));
        for (std::size_t i = 0; i < 195; ++i) {
            if (i != 4)
                CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, cluster.knownAt(i));
        }
    }

    // Guards against a message about usage that is taken for a report without load.
    void usageMessagesDoNotChangeLoads()
    {
        struct Receiver : public PeerUsage
        {
            void onPeerUsage(const NodeId &node, std::uint64_t boot,
                             const std::string &bytes) override
            {
                received.push_back({node.value, boot, bytes});
            }
            std::vector<std::tuple<std::string, std::uint64_t, std::string>> received;
        };
        ExchangeCluster cluster(4, 2);
        for (std::size_t i = 0; i < 4; ++i)
            cluster.setRunning(i, 5);
        cluster.loop.advance(seconds(3));
        Receiver receiver;
        cluster.nodes[1]->exchange.setUsage(&receiver);
        for (const std::size_t i : {1, 2})
            cluster.nodes[0]->exchange.sendUsage(NodeId(cluster.nodes[i]->self.address), "usage");
        cluster.loop.advance(kLatency);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), receiver.received.size());
        const auto &[node, boot, bytes] = receiver.received.front();
        CPPUNIT_ASSERT_EQUAL(cluster.nodes[0]->self.address, node);
        CPPUNIT_ASSERT(boot != 0);
        CPPUNIT_ASSERT_EQUAL(std::string("usage"), bytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), cluster.knowing(20));
    }

private:
    static double bytesFor(std::size_t count)
    {
        ExchangeCluster cluster(count, 5);
        const double before = cluster.bytesBetweenDomains;
        std::size_t next = 0;
        // As many requests per second at any number of nodes.
        for (int i = 0; i < 400; ++i) {
            cluster.setRunning(next++ % count, static_cast<std::uint32_t>(i));
            cluster.loop.advance(milliseconds(10));
        }
        return cluster.bytesBetweenDomains - before;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadExchangeTest);

} // namespace hawthornslip::test
