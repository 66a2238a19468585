#include "servers/request_path/budgeted_retry_limiter.h"
#include "servers/request_path/shared_rate_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

class RequestLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestLimitsTest);
    CPPUNIT_TEST(retryBudgetsOfProfilesAreSeparate);
    CPPUNIT_TEST(nodesShareTheRate);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a failing profile that uses up the retry budget of another one.
    void retryBudgetsOfProfilesAreSeparate()
    {
        BudgetedRetryLimiter retries;
        Profile a;
        a.name = ProfileName("a");
        Profile b = a;
        b.name = ProfileName("b");
        const TimePoint now(seconds(1));
        int taken = 0;
        while (retries.take(a, now) && taken < 1000)
            ++taken;
        CPPUNIT_ASSERT(taken < 1000);
        CPPUNIT_ASSERT(retries.take(b, now));
        CPPUNIT_ASSERT(!retries.take(a, now));
        for (int i = 0; i < 11; ++i)
            retries.succeeded(a, milliseconds(10), now);
        CPPUNIT_ASSERT(retries.take(a, now));
        CPPUNIT_ASSERT(!retries.hedgeDelay(b));
    }

    // Guards against each node admitting the full request rate of a workspace.
    void nodesShareTheRate()
    {
        Workspace workspace;
        workspace.id = WorkspaceId("w");
        workspace.requestsPerSecond = 10;
        workspace.burstRequests = 10;
        const TimePoint now(seconds(1));
        const auto burst = [&](std::size_t nodes) {
            SharedRateLimiter limiter;
            limiter.setLiveNodes(nodes);
            int taken = 0;
            while (!limiter.take(workspace, now) && taken < 1000)
                ++taken;
            CPPUNIT_ASSERT(limiter.take(workspace, now)->count() > 0);
            return taken;
        };
        CPPUNIT_ASSERT_EQUAL(10, burst(1));
        CPPUNIT_ASSERT_EQUAL(5, burst(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLimitsTest);

} // namespace hawthornslip
