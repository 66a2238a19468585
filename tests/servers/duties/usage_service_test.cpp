#include "modules/duties/contenders.h"
#include "servers/duties/usage_service.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/manual_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace hawthornslip::test {

namespace {

constexpr UsageTimes kTimes{seconds(5), seconds(10)};
constexpr Duration kLatency = milliseconds(2);
constexpr std::uint64_t kEra = 4;

/** Nodes that count and report, with a store, a provider and a network in virtual time. */
class UsageCluster : public ObjectStore, public ProviderApi
{
public:
    explicit UsageCluster(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back(nullptr);
            restart(i);
        }
        hold(0);
        // Windows that were in progress as the first journal was written are not reported.
        loop.advance(kTimes.window * 2 - milliseconds(1));
    }

    struct Node : public UsageTransport, public DutyTerms
    {
        Node(UsageCluster &cluster, std::size_t index, std::uint64_t boot)
            : address("node-" + std::to_string(index))
            , m_cluster(cluster)
            , m_boot(boot)
            , usage({cluster.loop, cluster, cluster, *this, *this, cluster.metrics}, kTimes,
                    NodeId(address))
        {
            usage.start();
        }

        void setUsage(PeerUsage *receiver) override { m_receiver = receiver; }
        void sendUsage(const NodeId &to, const std::string &bytes) override
        {
            m_cluster.deliver(*this, to, bytes);
        }
        std::uint64_t boot() const override { return m_boot; }
        std::vector<std::string> livePeers() const override
        {
            std::vector<std::string> live;
            for (const auto &it : m_cluster.nodes) {
                if (it && it->address != address)
                    live.push_back(it->address);
            }
            return live;
        }
        std::optional<DutyTerm> current(TimePoint now) const override
        {
            if (generation == 0)
                return std::nullopt;
            return DutyTerm{generation, now + seconds(1)};
        }
        void onSuperseded(std::uint64_t, TimePoint) override { generation = 0; }

        void receive(const Node &from, const std::string &bytes)
        {
            m_receiver->onPeerUsage(NodeId(from.address), from.m_boot, bytes);
        }

        void request(const std::string &workspace, int count)
        {
            for (int i = 0; i < count; ++i)
                usage.onRequestBegun(workspace);
        }

        std::string address;
        std::uint64_t generation = 0;

    private:
        UsageCluster &m_cluster;
        std::uint64_t m_boot;
        PeerUsage *m_receiver = nullptr;

    public:
        UsageService usage;
    };

    void hold(std::size_t i) { nodes[i]->generation = ++m_generations; }

    void restart(std::size_t i) { nodes[i] = std::make_unique<Node>(*this, i, ++m_boots); }

    void deliver(const Node &from, const NodeId &to, const std::string &bytes)
    {
        ++messages;
        CPPUNIT_ASSERT(bytes.size() < 1400);
        if (std::uniform_real_distribution<double>()(m_random) < loss)
            return;
        loop.after(kLatency, [this, sender = from.address, to, bytes] {
            Node *source = find(sender);
            Node *target = find(to.value);
            if (source != nullptr && target != nullptr)
                target->receive(*source, bytes);
        });
    }

    Node *find(const std::string &address)
    {
        for (auto &it : nodes) {
            if (it && it->address == address)
                return it.get();
        }
        return nullptr;
    }

    void get(const std::string &key, Callback done) override
    {
        StoreResult result{StoreError::NotFound, {}, kEra};
        if (const auto it = objects.find(key); it != objects.end())
            result = {StoreError::None, it->second, kEra};
        if (isStoreDown)
            result = {StoreError::Unavailable, {}, {}};
        loop.after(kLatency, [done, result] { done(result); });
    }

    void put(const std::string &key, const std::string &value, std::uint64_t expectedVersion,
             Callback done) override
    {
        StoreResult result{StoreError::Unavailable, {}, {}};
        if (!isStoreDown) {
            auto &object = objects[key];
            result = {StoreError::Conflict, {}, kEra};
            if (object.version == expectedVersion) {
                object = {value, ++m_revision};
                result = {StoreError::None, {{}, m_revision}, kEra};
            }
        }
        loop.after(kLatency, [done, result] { done(result); });
    }

    void watch(const std::string &, std::uint64_t, Duration, Callback) override {}

    void reportUsage(const UsageReport &report, std::uint64_t, Done done) override
    {
        if (providerResult == ProviderResult::Accepted) {
            const auto [it, isNew] = reported.emplace(report.window, report.counts);
            CPPUNIT_ASSERT(it->second == report.counts);
            reportedAt.emplace(report.window, loop.now());
        }
        ++calls;
        loop.after(kLatency, [done, result = providerResult] { done(result); });
    }

    void orderCapacity(const CapacityOrder &, std::uint64_t, Done) override {}

    /** @return the window in progress. */
    std::uint64_t window() const
    {
        return static_cast<std::uint64_t>(loop.now().time_since_epoch() / kTimes.window);
    }
    /** Moves the time to the end of the window in progress and @p span further. */
    void finishWindow(Duration span)
    {
        const TimePoint end{static_cast<std::int64_t>(window() + 1) * kTimes.window};
        loop.advance(end - loop.now() + span);
    }

    ManualLoop loop;
    CountingMetrics metrics;
    std::map<std::string, StoredObject> objects;
    std::map<std::uint64_t, WorkspaceCounts> reported;
    std::map<std::uint64_t, TimePoint> reportedAt;
    ProviderResult providerResult = ProviderResult::Accepted;
    bool isStoreDown = false;
    double loss = 0;
    int messages = 0;
    int calls = 0;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    std::mt19937_64 m_random{7};
    std::uint64_t m_boots = 0;
    std::uint64_t m_generations = 0;
    std::uint64_t m_revision = 0;
};

} // namespace

class UsageServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageServiceTest);
    CPPUNIT_TEST(requestsOfAllNodesAreReportedInTime);
    CPPUNIT_TEST(lostDatagramsCostNothing);
    CPPUNIT_TEST(manyWorkspacesFitIntoDatagrams);
    CPPUNIT_TEST(endedNodeKeepsWhatWasHeard);
    CPPUNIT_TEST(successorReportsTheSameCounts);
    CPPUNIT_TEST(newHolderCollectsWindowsThatAreNotReported);
    CPPUNIT_TEST(windowThatEndsDuringAnOutageIsReportedLater);
    CPPUNIT_TEST(windowThatNobodyKnowsIsNotReported);
    CPPUNIT_TEST(countsOutliveTheEndOfAllNodes);
    CPPUNIT_TEST(refusedGenerationEndsTheTerm);
    CPPUNIT_TEST(idleNodesSendNothing);
    CPPUNIT_TEST(nodeThatEndsWithoutAHolderIsCounted);
    CPPUNIT_TEST(countsOfTheHolderOutliveIt);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against counts that are missing, doubled or reported late on a calm day.
    void requestsOfAllNodesAreReportedInTime()
    {
        UsageCluster cluster(5);
        for (int round = 0; round < 4; ++round) {
            const std::uint64_t window = cluster.window() + 1;
            cluster.finishWindow(milliseconds(10));
            for (auto &it : cluster.nodes)
                it->request("a", 3);
            cluster.loop.advance(seconds(4));
            cluster.nodes[1]->request("b", 2);
            cluster.finishWindow(seconds(1));
            CPPUNIT_ASSERT(cluster.reported.contains(window));
            const WorkspaceCounts expected{{"a", 15}, {"b", 2}};
            CPPUNIT_ASSERT(expected == cluster.reported.at(window));
        }
        // Reports that the provider has accepted are not repeated.
        CPPUNIT_ASSERT_EQUAL(cluster.reported.size(), static_cast<std::size_t>(cluster.calls));
        CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(cluster.objects.count("router-usage/journal-4")));
    }

    // Guards against a lost datagram that loses requests.
    void lostDatagramsCostNothing()
    {
        UsageCluster cluster(8);
        cluster.loss = 0.2;
        std::uint64_t last = 0;
        for (int round = 0; round < 10; ++round) {
            cluster.finishWindow(milliseconds(10));
            last = cluster.window();
            for (auto &it : cluster.nodes)
                it->request("a", 3);
        }
        cluster.finishWindow(seconds(3));
        for (std::uint64_t window = last - 9; window <= last; ++window)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(24), cluster.reported.at(window).at("a"));
    }

    // Guards against answers that no datagram holds.
    void manyWorkspacesFitIntoDatagrams()
    {
        UsageCluster cluster(2);
        cluster.finishWindow(milliseconds(10));
        const std::uint64_t window = cluster.window();
        for (int i = 0; i < 500; ++i)
            cluster.nodes[1]->request("workspace-with-a-long-name-" + std::to_string(i), 1);
        cluster.finishWindow(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(500), cluster.reported.at(window).size());
    }

    // Guards against a node whose end loses more than its last second.
    void endedNodeKeepsWhatWasHeard()
    {
        UsageCluster cluster(4);
        cluster.finishWindow(milliseconds(10));
        const std::uint64_t window = cluster.window();
        cluster.nodes[2]->request("a", 5);
        cluster.nodes[3]->request("a", 7);
        cluster.loop.advance(milliseconds(1300));
        cluster.nodes[2] = nullptr;
        cluster.restart(3);
        cluster.nodes[3]->request("a", 2);
        cluster.finishWindow(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(14), cluster.reported.at(window).at("a"));
    }

    // Guards against a second report with other counts after a holder ended between the write and
    // the answer of the provider. The provider of the test compares the counts.
    void successorReportsTheSameCounts()
    {
        UsageCluster cluster(4);
        cluster.finishWindow(milliseconds(10));
        const std::uint64_t window = cluster.window();
        for (auto &it : cluster.nodes)
            it->request("a", 3);
        cluster.providerResult = ProviderResult::Unknown;
        cluster.finishWindow(milliseconds(700));
        cluster.nodes[0] = nullptr;
        cluster.loop.advance(seconds(1));
        cluster.hold(1);
        cluster.providerResult = ProviderResult::Accepted;
        cluster.loop.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), cluster.reported.at(window).at("a"));
    }

    // Guards against a change of holder that loses the window in progress and the one before it.
    void newHolderCollectsWindowsThatAreNotReported()
    {
        UsageCluster cluster(4);
        cluster.finishWindow(milliseconds(10));
        const std::uint64_t window = cluster.window();
        for (auto &it : cluster.nodes)
            it->request("a", 3);
        cluster.nodes[0]->generation = 0;
        cluster.finishWindow(seconds(2));
        cluster.nodes[2]->request("a", 4);
        cluster.hold(2);
        cluster.loop.advance(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), cluster.reported.at(window).at("a"));
        cluster.finishWindow(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), cluster.reported.at(window + 1).at("a"));
    }

    // Guards against windows that an outage of the store loses.
    void windowThatEndsDuringAnOutageIsReportedLater()
    {
        UsageCluster cluster(3);
        cluster.finishWindow(milliseconds(10));
        const std::uint64_t window = cluster.window();
        cluster.nodes[1]->request("a", 3);
        cluster.isStoreDown = true;
        cluster.finishWindow(seconds(4));
        CPPUNIT_ASSERT(!cluster.reported.contains(window));
        cluster.isStoreDown = false;
        cluster.loop.advance(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), cluster.reported.at(window).at("a"));
    }

    // Guards against a report without requests after all nodes have been replaced.
    void windowThatNobodyKnowsIsNotReported()
    {
        UsageCluster cluster(3);
        cluster.nodes[0]->generation = 0;
        cluster.finishWindow(milliseconds(10));
        const std::uint64_t window = cluster.window();
        for (auto &it : cluster.nodes)
            it->request("a", 3);
        // Messages on their way would be heard by the new nodes.
        cluster.finishWindow(milliseconds(10));
        for (std::size_t i = 0; i < cluster.nodes.size(); ++i)
            cluster.restart(i);
        cluster.loop.advance(seconds(1));
        cluster.nodes[1]->request("a", 2);
        cluster.hold(0);
        cluster.finishWindow(seconds(3));
        CPPUNIT_ASSERT(!cluster.reported.contains(window));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), cluster.reported.at(window + 1).at("a"));
    }

    // Guards against counts that are lost, or counted twice, when all nodes end at once.
    void countsOutliveTheEndOfAllNodes()
    {
        UsageCluster cluster(5);
        cluster.finishWindow(milliseconds(10));
        const std::uint64_t window = cluster.window();
        for (auto &it : cluster.nodes)
            it->request("a", 3);
        cluster.loop.advance(milliseconds(2500));
        for (std::size_t i = 0; i < cluster.nodes.size(); ++i)
            cluster.restart(i);
        cluster.nodes[1]->request("a", 2);
        cluster.hold(1);
        cluster.finishWindow(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(17), cluster.reported.at(window).at("a"));
        // A change of holder without an end of a node.
        for (auto &it : cluster.nodes)
            it->request("b", 4);
        cluster.loop.advance(milliseconds(1500));
        cluster.nodes[1]->generation = 0;
        cluster.hold(2);
        cluster.finishWindow(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(20), cluster.reported.at(window + 1).at("b"));
    }

    // Guards against a holder that goes on after the provider has seen a later one.
    void refusedGenerationEndsTheTerm()
    {
        UsageCluster cluster(2);
        cluster.providerResult = ProviderResult::Conflict;
        cluster.finishWindow(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cluster.nodes[0]->generation);
        CPPUNIT_ASSERT_EQUAL(1, cluster.calls);
        cluster.loop.advance(seconds(20));
        CPPUNIT_ASSERT_EQUAL(1, cluster.calls);
    }

    // Guards against traffic between nodes that have nothing to tell, and against traffic that
    // grows with the square of their number.
    void idleNodesSendNothing()
    {
        constexpr int kNodes = 12;
        UsageCluster cluster(kNodes);
        cluster.nodes[0]->generation = 0;
        cluster.loop.advance(seconds(1));
        int before = cluster.messages;
        cluster.loop.advance(seconds(20));
        CPPUNIT_ASSERT_EQUAL(before, cluster.messages);
        for (auto &it : cluster.nodes)
            it->request("a", 3);
        constexpr int kSeconds = 5;
        before = cluster.messages;
        cluster.loop.advance(seconds(kSeconds));
        const auto perSecond = kNodes * static_cast<int>(kDutyContenders);
        CPPUNIT_ASSERT(cluster.messages - before <= (kSeconds + 1) * perSecond);
    }

    // Guards against the counts of nodes that stop while nobody holds the duty.
    void nodeThatEndsWithoutAHolderIsCounted()
    {
        UsageCluster cluster(8);
        cluster.finishWindow(milliseconds(10));
        const std::uint64_t window = cluster.window();
        cluster.nodes[0]->generation = 0;
        for (auto &it : cluster.nodes)
            it->request("a", 3);
        cluster.loop.advance(seconds(4));
        const NodeId next = successor(cluster);
        for (std::size_t i = 1; i < cluster.nodes.size(); ++i) {
            if (cluster.nodes[i]->address != next.value)
                cluster.restart(i);
        }
        cluster.find(next.value)->generation = 9;
        cluster.finishWindow(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(24), cluster.reported.at(window).at("a"));
    }

    // Guards against a holder whose end loses its own counts.
    void countsOfTheHolderOutliveIt()
    {
        UsageCluster cluster(8);
        cluster.finishWindow(milliseconds(10));
        const std::uint64_t window = cluster.window();
        for (auto &it : cluster.nodes)
            it->request("a", 3);
        cluster.loop.advance(milliseconds(1500));
        const NodeId next = successor(cluster);
        cluster.restart(0);
        cluster.find(next.value)->generation = 9;
        cluster.finishWindow(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(24), cluster.reported.at(window).at("a"));
    }

private:
    /** @return a contender for the duty other than the first node. */
    static NodeId successor(const UsageCluster &cluster)
    {
        std::vector<NodeId> nodes;
        for (const auto &it : cluster.nodes)
            nodes.emplace_back(it->address);
        const NodeId first = nodes.front();
        nodes.erase(nodes.begin());
        const auto contenders = dutyContenders(first, nodes);
        return contenders.at(0) == first ? contenders.at(1) : contenders.at(0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageServiceTest);

} // namespace hawthornslip::test
