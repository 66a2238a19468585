#include "modules/duties/contenders.h"
#include "tests/support/usage_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace hawthornslip::test {

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
