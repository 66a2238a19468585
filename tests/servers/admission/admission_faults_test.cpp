#include "tests/servers/admission/admission_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

using test::AdmissionCluster;

class AdmissionFaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionFaultsTest);
    CPPUNIT_TEST(servesWithoutFaults);
    CPPUNIT_TEST(messageLossLeaksNoSlot);
    CPPUNIT_TEST(ownerCrashMovesGroup);
    CPPUNIT_TEST(pausedOwnerResumes);
    CPPUNIT_TEST(splitViewsOverloadBriefly);
    CPPUNIT_TEST(oneWayLossIsTolerated);
    CPPUNIT_TEST(deadNodeFreesItsSlots);
    CPPUNIT_TEST(isolatedNodeAdmitsLocally);
    CPPUNIT_TEST(drainedUpstreamBecomesIdle);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int kNodes = 4;
    static constexpr std::uint32_t kSlots = 8;

    // The total load exceeds the capacity of the six upstreams; tier 0 alone is well below it.
    static std::unique_ptr<AdmissionCluster> makeCluster(std::uint64_t seed)
    {
        auto cluster = std::make_unique<AdmissionCluster>(kNodes, 2, 3, kSlots, seed);
        cluster->load.rates = {3, 8, 8};
        return cluster;
    }

    static std::vector<int> allNodesExcept(int without)
    {
        std::vector<int> nodes;
        for (int i = 0; i < kNodes; ++i) {
            if (i != without)
                nodes.push_back(i);
        }
        return nodes;
    }

    // Stops the load and the faults; waits until streams have ended and releases are confirmed.
    static void stopLoadAndWait(AdmissionCluster &cluster)
    {
        cluster.load.rates = {};
        cluster.network.faults = {};
        cluster.network.cut.clear();
        cluster.run(seconds(45));
    }

    static void checkInvariants(const AdmissionCluster &cluster)
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster.orderTierViolations);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster.duplicateAnswers);
    }

    static void checkAllTiersServed(const AdmissionCluster &cluster, Duration within)
    {
        for (const auto &it : cluster.counts) {
            CPPUNIT_ASSERT(it.granted > 0);
            CPPUNIT_ASSERT(cluster.now() - it.lastGrant < within);
        }
    }

    static void checkNoLeak(const AdmissionCluster &cluster, const std::vector<int> &nodes)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.running());
        for (const int it : nodes) {
            CPPUNIT_ASSERT_EQUAL(0U, cluster.inFlightAt(it));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.waitingAt(it));
        }
    }

public:
    // Guards against faults of the simulation that would hide faults of admission.
    void servesWithoutFaults()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto cluster = makeCluster(seed);
            cluster->run(seconds(20));
            checkAllTiersServed(*cluster, seconds(2));
            CPPUNIT_ASSERT(cluster->counts[0].granted + 5 > cluster->counts[0].requested);
            CPPUNIT_ASSERT(cluster->longestExcess == Duration(0));
            stopLoadAndWait(*cluster);
            checkInvariants(*cluster);
            checkNoLeak(*cluster, allNodesExcept(-1));
        }
    }

    // Guards against leaked slots and unanswered requests after lost, duplicated or late messages.
    void messageLossLeaksNoSlot()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            auto cluster = makeCluster(seed);
            cluster->network.faults = {0.15, 0.15, 0.3, milliseconds(800)};
            cluster->run(seconds(40));
            checkAllTiersServed(*cluster, seconds(5));
            CPPUNIT_ASSERT(cluster->longestExcess < seconds(5));
            stopLoadAndWait(*cluster);
            // Capacity is many times the tier-0 load, so only a lost message can delay a request.
            CPPUNIT_ASSERT(cluster->counts[0].granted * 100 > cluster->counts[0].requested * 99);
            checkInvariants(*cluster);
            checkNoLeak(*cluster, allNodesExcept(-1));
        }
    }

    // Guards against a group that is not served or is overloaded after its owner crashed.
    void ownerCrashMovesGroup()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto cluster = makeCluster(seed);
            cluster->run(seconds(10));
            const int owner = cluster->ownerOf(0);
            cluster->crash(owner);
            cluster->run(seconds(3));
            checkAllTiersServed(*cluster, seconds(2));
            cluster->setViews(allNodesExcept(owner));
            cluster->run(milliseconds(100));
            std::size_t inFlight = 0;
            for (const int it : allNodesExcept(owner))
                inFlight += cluster->inFlightAt(it);
            CPPUNIT_ASSERT(inFlight * 10 > cluster->running() * 8);
            cluster->run(seconds(10));
            checkAllTiersServed(*cluster, seconds(2));
            CPPUNIT_ASSERT(cluster->longestExcess < seconds(3));
            cluster->restart(owner);
            cluster->setViews(allNodesExcept(-1));
            cluster->run(seconds(10));
            checkAllTiersServed(*cluster, seconds(2));
            stopLoadAndWait(*cluster);
            checkInvariants(*cluster);
            checkNoLeak(*cluster, allNodesExcept(-1));
        }
    }

    // Guards against an owner that acts on a stale queue and stale grants after a pause.
    void pausedOwnerResumes()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto cluster = makeCluster(seed);
            cluster->run(seconds(10));
            const int owner = cluster->ownerOf(0);
            cluster->pause(owner);
            cluster->run(seconds(4));
            cluster->setViews(allNodesExcept(owner));
            cluster->run(seconds(6));
            checkAllTiersServed(*cluster, seconds(2));
            cluster->resume(owner);
            cluster->run(milliseconds(500));
            cluster->setViews(allNodesExcept(-1));
            cluster->run(seconds(10));
            checkAllTiersServed(*cluster, seconds(2));
            CPPUNIT_ASSERT(cluster->longestExcess < seconds(5));
            stopLoadAndWait(*cluster);
            checkInvariants(*cluster);
            checkNoLeak(*cluster, allNodesExcept(-1));
        }
    }

    // Guards against lasting overload when two halves of the nodes see different owners.
    void splitViewsOverloadBriefly()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto cluster = makeCluster(seed);
            cluster->run(seconds(5));
            cluster->setView(0, {0, 1});
            cluster->setView(1, {0, 1});
            cluster->setView(2, {2, 3});
            cluster->setView(3, {2, 3});
            cluster->run(seconds(5));
            checkAllTiersServed(*cluster, seconds(2));
            cluster->setViews(allNodesExcept(-1));
            cluster->run(seconds(15));
            checkAllTiersServed(*cluster, seconds(2));
            // Two owners may run twice the limit until their views agree and then until the
            // running requests have ended.
            CPPUNIT_ASSERT(cluster->longestExcess < seconds(5 + 4));
            stopLoadAndWait(*cluster);
            checkInvariants(*cluster);
            checkNoLeak(*cluster, allNodesExcept(-1));
        }
    }

    // Guards against requests that wait forever when messages are lost in one direction only.
    void oneWayLossIsTolerated()
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto cluster = makeCluster(seed);
            cluster->run(seconds(5));
            const int owner = cluster->ownerOf(0);
            const int other = (owner + 2) % kNodes;
            const NodeId a("n" + std::to_string(other));
            const NodeId b("n" + std::to_string(owner));
            cluster->network.cut = {{a, b}};
            cluster->run(seconds(10));
            checkAllTiersServed(*cluster, seconds(2));
            cluster->network.cut = {{b, a}};
            cluster->run(seconds(10));
            checkAllTiersServed(*cluster, seconds(2));
            cluster->network.cut.clear();
            cluster->run(seconds(5));
            CPPUNIT_ASSERT(cluster->longestExcess < seconds(12));
            stopLoadAndWait(*cluster);
            checkInvariants(*cluster);
            checkNoLeak(*cluster, allNodesExcept(-1));
        }
    }

    // Guards against slots that stay occupied by a crashed node.
    void deadNodeFreesItsSlots()
    {
        auto cluster = makeCluster(1);
        cluster->load.meanTokens = 500;
        cluster->run(seconds(10));
        const int owner = cluster->ownerOf(0);
        const int dead = (owner + 1) % kNodes;
        cluster->crash(dead);
        cluster->run(seconds(4));
        cluster->setViews(allNodesExcept(dead));
        cluster->run(seconds(3));
        std::size_t inFlight = 0;
        for (const int it : allNodesExcept(dead))
            inFlight += cluster->inFlightAt(it);
        CPPUNIT_ASSERT(inFlight <= cluster->running() + 4);
        stopLoadAndWait(*cluster);
        checkInvariants(*cluster);
        checkNoLeak(*cluster, allNodesExcept(dead));
    }

    // Guards against unanswered callers of a node that reaches no other node; such a node admits
    // requests locally.
    void isolatedNodeAdmitsLocally()
    {
        auto cluster = makeCluster(2);
        cluster->run(seconds(5));
        const NodeId isolated("n0");
        for (int i = 1; i < kNodes; ++i) {
            const NodeId other("n" + std::to_string(i));
            cluster->network.cut.insert({isolated, other});
            cluster->network.cut.insert({other, isolated});
        }
        cluster->run(seconds(3));
        const auto grantedBefore = cluster->counts[0].granted;
        const auto requestedBefore = cluster->counts[0].requested;
        cluster->run(seconds(10));
        CPPUNIT_ASSERT(cluster->counts[0].granted - grantedBefore >
                       (cluster->counts[0].requested - requestedBefore) * 8 / 10);
        cluster->network.cut.clear();
        cluster->run(seconds(5));
        checkAllTiersServed(*cluster, seconds(2));
        stopLoadAndWait(*cluster);
        checkInvariants(*cluster);
        checkNoLeak(*cluster, allNodesExcept(-1));
    }

    // Guards against new requests to a drained upstream (invariant I6).
    void drainedUpstreamBecomesIdle()
    {
        auto cluster = makeCluster(3);
        cluster->run(seconds(5));
        CPPUNIT_ASSERT(cluster->runningAt(0) > 0);
        cluster->drain(0);
        cluster->run(seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster->runningAt(0));
        checkAllTiersServed(*cluster, seconds(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionFaultsTest);

} // namespace hawthornslip
