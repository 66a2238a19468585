#include "modules/duties/contenders.h"
#include "servers/duties/duty_service.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/direct_store.h"
#include "tests/support/manual_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace hawthornslip::test {

namespace {

constexpr Duration kLease = seconds(3);

/** Two nodes that compete for the duties over one store. */
class DutyServices
{
public:
    DutyServices()
    {
        for (std::uint64_t i = 1; i <= 2; ++i)
            start(i);
    }

    void start(std::uint64_t incarnation)
    {
        services.push_back(
                std::make_unique<DutyService>(DutyServiceParts{loop, store, metrics},
                                              NodeId("node-" + std::to_string(services.size())),
                                              incarnation, kLease, [] { return true; }));
        services.back()->start();
    }

    bool holds(std::size_t i) const { return services[i]->current(loop.now()).has_value(); }
    /** @return the index of the holder, or the number of services when there is none. */
    std::size_t holder() const
    {
        std::size_t i = 0;
        while (i < services.size() && !holds(i))
            ++i;
        return i;
    }

    ManualLoop loop;
    DirectStore store;
    CountingMetrics metrics;
    std::vector<std::unique_ptr<DutyService>> services;
};

} // namespace

/** Failures around the node that performs the duties, each brought about by a small fake. */
class DutyServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DutyServiceTest);
    CPPUNIT_TEST(oneNodeHoldsTheDuties);
    CPPUNIT_TEST(holderWithoutStoreStopsBeforeItsLeaseEnds);
    CPPUNIT_TEST(frozenHolderHoldsNothingWhenItGoesOn);
    CPPUNIT_TEST(stopHandsTheDutiesOver);
    CPPUNIT_TEST(lostAnswerOfTheWriteKeepsTheTerm);
    CPPUNIT_TEST(restoredStoreGivesHigherGenerations);
    CPPUNIT_TEST(fewNodesReadTheLease);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against no holder, or two, on a calm day.
    void oneNodeHoldsTheDuties()
    {
        DutyServices nodes;
        nodes.loop.advance(3 * kLease);
        CPPUNIT_ASSERT(nodes.holds(0) != nodes.holds(1));
        const auto first = nodes.holder();
        nodes.loop.advance(10 * kLease);
        CPPUNIT_ASSERT_EQUAL(first, nodes.holder());
        CPPUNIT_ASSERT(!nodes.holds(1 - first));
    }

    // Guards against a holder that acts beside its successor, as it is cut from the store only.
    void holderWithoutStoreStopsBeforeItsLeaseEnds()
    {
        DutyServices nodes;
        nodes.loop.advance(3 * kLease);
        nodes.store.isDown = true;
        nodes.loop.advance(kLease);
        CPPUNIT_ASSERT_EQUAL(nodes.services.size(), nodes.holder());
        nodes.store.isDown = false;
        nodes.loop.advance(4 * kLease);
        CPPUNIT_ASSERT(nodes.holder() < nodes.services.size());
    }

    // Guards against a holder that calls as soon as it thaws.
    void frozenHolderHoldsNothingWhenItGoesOn()
    {
        DutyServices nodes;
        nodes.loop.advance(3 * kLease);
        CPPUNIT_ASSERT(nodes.holder() < nodes.services.size());
        nodes.loop.suspend(kLease);
        CPPUNIT_ASSERT_EQUAL(nodes.services.size(), nodes.holder());
    }

    // Guards against duties that nobody performs for a lease after a planned stop.
    void stopHandsTheDutiesOver()
    {
        DutyServices nodes;
        nodes.loop.advance(3 * kLease);
        const auto first = nodes.holder();
        const auto before = nodes.services[first]->current(nodes.loop.now())->generation;
        nodes.services[first]->stop();
        CPPUNIT_ASSERT(!nodes.holds(first));
        nodes.loop.advance(kLease / 2);
        CPPUNIT_ASSERT(nodes.holds(1 - first));
        CPPUNIT_ASSERT(nodes.services[1 - first]->current(nodes.loop.now())->generation > before);
    }

    // Guards against a term that is given up as the answer to its renewal was lost.
    void lostAnswerOfTheWriteKeepsTheTerm()
    {
        DutyServices nodes;
        nodes.loop.advance(3 * kLease);
        const auto first = nodes.holder();
        nodes.store.losesAnswer = true;
        nodes.loop.advance(2 * kLease);
        CPPUNIT_ASSERT(!nodes.store.losesAnswer);
        CPPUNIT_ASSERT_EQUAL(first, nodes.holder());
    }

    // Guards against a generation that is given out again after the store has forgotten it.
    void restoredStoreGivesHigherGenerations()
    {
        DutyServices nodes;
        nodes.store.era = 1;
        nodes.loop.advance(3 * kLease);
        const auto before = nodes.services[nodes.holder()]->current(nodes.loop.now())->generation;
        nodes.store.era = 2;
        nodes.store.objects.clear();
        nodes.loop.advance(4 * kLease);
        CPPUNIT_ASSERT(nodes.holder() < nodes.services.size());
        const auto after = nodes.services[nodes.holder()]->current(nodes.loop.now())->generation;
        CPPUNIT_ASSERT(after > before + 1);
    }

    // Guards against calls to the store that grow with the number of nodes.
    void fewNodesReadTheLease()
    {
        std::vector<NodeId> all;
        for (int i = 0; i < 300; ++i)
            all.emplace_back("10.0.0." + std::to_string(i) + ":7000");
        std::size_t contenders = 0;
        for (const auto &it : all) {
            auto peers = all;
            std::erase(peers, it);
            contenders += isDutyContender(it, peers) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(kDutyContenders, contenders);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DutyServiceTest);

} // namespace hawthornslip::test
