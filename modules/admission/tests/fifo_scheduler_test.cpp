#include "modules/admission/fifo_scheduler.h"
#include "tests/support/scheduler_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

using test::kSchedulerStart;
using test::makeAsk;
using test::makeRelease;
using test::makeUpstreams;
using test::only;

class FifoSchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FifoSchedulerTest);
    CPPUNIT_TEST(servesInOrderOfArrival);
    CPPUNIT_TEST(roundRobinTakesTurns);
    CPPUNIT_TEST(leastInFlightFollowsLoad);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a baseline that reorders requests by tier.
    void servesInOrderOfArrival()
    {
        FifoScheduler scheduler({}, SchedulingPolicy::LeastInFlight);
        scheduler.onUpstreams(makeUpstreams(1, 1), kSchedulerStart);
        auto next =
                only<GrantAction>(scheduler.onAdmissionRequest(makeAsk("a", 2), kSchedulerStart));
        scheduler.onAdmissionRequest(makeAsk("b", 2), kSchedulerStart);
        scheduler.onAdmissionRequest(makeAsk("c", 0), kSchedulerStart);
        for (const auto *expected : {"b", "c"}) {
            next = only<GrantAction>(
                    scheduler.onRelease(makeRelease(next.at(0).grant), kSchedulerStart));
            CPPUNIT_ASSERT_EQUAL(RequestId(expected), next.at(0).key.request);
        }
    }

    // Guards against a baseline that sends all requests to one upstream.
    void roundRobinTakesTurns()
    {
        FifoScheduler scheduler({}, SchedulingPolicy::RoundRobin);
        scheduler.onUpstreams(makeUpstreams(3, 10), kSchedulerStart);
        for (int i = 0; i < 9; ++i) {
            const auto next = only<GrantAction>(
                    scheduler.onAdmissionRequest(makeAsk(std::to_string(i), 1), kSchedulerStart));
            CPPUNIT_ASSERT_EQUAL(UpstreamId("u" + std::to_string(i % 3)), next.at(0).upstream);
        }
    }

    // Guards against a baseline that ignores the load of the upstreams.
    void leastInFlightFollowsLoad()
    {
        FifoScheduler scheduler({}, SchedulingPolicy::LeastInFlight);
        scheduler.onUpstreams(makeUpstreams(2, 10), kSchedulerStart);
        const auto a =
                only<GrantAction>(scheduler.onAdmissionRequest(makeAsk("a", 1), kSchedulerStart));
        scheduler.onAdmissionRequest(makeAsk("b", 1), kSchedulerStart);
        scheduler.onRelease(makeRelease(a.at(0).grant), kSchedulerStart);
        const auto c =
                only<GrantAction>(scheduler.onAdmissionRequest(makeAsk("c", 1), kSchedulerStart));
        CPPUNIT_ASSERT_EQUAL(a.at(0).upstream, c.at(0).upstream);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FifoSchedulerTest);

} // namespace hawthornslip
