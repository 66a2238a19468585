#include "servers/lifecycle/lifecycle_service.h"
#include "tests/support/sim_control_nodes.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

using test::SimControlNodes;

constexpr auto kBalancerNotice = seconds(5);

std::string documentOf(std::uint64_t generation)
{
    SharedConfig config;
    config.generation = generation;
    return ConfigDocument::toText(config);
}

/** Nine nodes, of which the last one runs a LifecycleService. */
struct Fixture
{
    explicit Fixture(std::uint64_t seed)
        : nodes(9, seed)
    {
        for (std::size_t i = 0; i < 8; ++i)
            nodes.start(i);
        CPPUNIT_ASSERT(nodes.runUntil(seconds(30), [&] { return nodes.settled(); }));
        nodes[0].config.apply(documentOf(1), [](const auto &) {});
        CPPUNIT_ASSERT(nodes.runUntil(seconds(2), [&] { return nodes.allHave(1); }));
    }

    void startLast()
    {
        nodes.start(8);
        service = std::make_unique<LifecycleService>(
                nodes[8].loop, nodes[8].bus, nodes[8].membership, nodes[8].config, kBalancerNotice,
                LifecycleHooks{[this] { return active; }, {}});
        service->start();
    }

    bool reachesPhase(NodePhase phase, Duration limit)
    {
        return nodes.runUntil(limit, [&] { return service->phase() == phase; }).has_value();
    }

    std::size_t active = 0;
    SimControlNodes nodes;
    std::unique_ptr<LifecycleService> service;
};

} // namespace

class LifecycleServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LifecycleServiceTest);
    CPPUNIT_TEST(readyFromStore);
    CPPUNIT_TEST(readyInOutageWithMajority);
    CPPUNIT_TEST(notReadyInOutageWithoutMajority);
    CPPUNIT_TEST(drainingNodeGivesUpOwnershipThenStops);
    CPPUNIT_TEST_SUITE_END();

public:
    void readyFromStore()
    {
        Fixture fixture(1);
        fixture.startLast();
        CPPUNIT_ASSERT(fixture.reachesPhase(NodePhase::Ready, seconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.nodes.generation(8));
    }

    // Guards against a node that cannot become ready during an outage of the store, although a
    // majority has told it the generation.
    void readyInOutageWithMajority()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            Fixture fixture(seed);
            fixture.nodes.store.faults.down = true;
            fixture.startLast();
            CPPUNIT_ASSERT(fixture.reachesPhase(NodePhase::Ready, seconds(10)));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.nodes.generation(8));
        }
    }

    // Guards against a node that becomes ready with an outdated configuration because only a
    // minority of the nodes answers during an outage of the store.
    void notReadyInOutageWithoutMajority()
    {
        Fixture fixture(1);
        fixture.nodes.store.faults.down = true;
        for (std::size_t i = 3; i < 8; ++i)
            fixture.nodes.crash(i);
        fixture.startLast();
        CPPUNIT_ASSERT(!fixture.reachesPhase(NodePhase::Ready, seconds(60)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.nodes.generation(8));
        fixture.nodes.store.faults.down = false;
        CPPUNIT_ASSERT(fixture.reachesPhase(NodePhase::Ready, seconds(10)));
    }

    // Guards against a stopping node that keeps its groups (invariant I6) or cuts off requests
    // (invariant I7).
    void drainingNodeGivesUpOwnershipThenStops()
    {
        Fixture fixture(1);
        fixture.startLast();
        CPPUNIT_ASSERT(fixture.reachesPhase(NodePhase::Ready, seconds(1)));
        CPPUNIT_ASSERT(fixture.nodes.runUntil(seconds(5), [&] { return fixture.nodes.settled(); }));
        fixture.active = 1;
        fixture.service->requestStop();
        fixture.nodes.run(milliseconds(100));
        CPPUNIT_ASSERT(fixture.service->phase() == NodePhase::Draining);
        CPPUNIT_ASSERT(fixture.service->takesRequests());
        const auto &owners = fixture.nodes[0].membership.ownerCandidates();
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, owners.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, fixture.nodes[0].membership.liveNodes().size());
        fixture.nodes.run(kBalancerNotice + seconds(10));
        CPPUNIT_ASSERT(!fixture.service->takesRequests());
        CPPUNIT_ASSERT(fixture.service->phase() == NodePhase::Draining);
        fixture.active = 0;
        CPPUNIT_ASSERT(fixture.reachesPhase(NodePhase::Stopped, seconds(1)));
        fixture.nodes.run(milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, fixture.nodes[0].membership.liveNodes().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LifecycleServiceTest);

} // namespace hawthornslip
