#include "modules/limits/concurrency_limiter.h"
#include "modules/limits/workspace_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

class LimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitsTest);
    CPPUNIT_TEST(workspaceGetsItsShareOfRate);
    CPPUNIT_TEST(workspacesDoNotSpendEachOthersRate);
    CPPUNIT_TEST(limitConvergesWhereTargetIsMet);
    CPPUNIT_TEST(limitDoesNotRiseWhileUnused);
    CPPUNIT_TEST(rareLateTokensDoNotReduceLimit);
    CPPUNIT_TEST(overloadReducesLimit);
    CPPUNIT_TEST(longPromptsDoNotReduceLimit);
    CPPUNIT_TEST(queueInsideUpstreamReducesLimit);
    CPPUNIT_TEST_SUITE_END();

    static constexpr TimePoint kStart{seconds(1000)};

public:
    // Guards against n nodes that each admit the whole rate, which is n times the rate together.
    void workspaceGetsItsShareOfRate()
    {
        WorkspaceLimiter limiter;
        Workspace workspace;
        workspace.id = WorkspaceId("a");
        workspace.requestsPerSecond = 30;
        workspace.burstRequests = 30;
        int admitted = 0;
        for (int ms = 0; ms < 10'000; ++ms) {
            if (limiter.admit(workspace, 3, kStart + milliseconds(ms)) == Duration(0))
                ++admitted;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10 + 10 * 10, admitted, 1);
        const auto now = kStart + milliseconds(9'999);
        const auto wait = limiter.admit(workspace, 3, now);
        CPPUNIT_ASSERT(wait > Duration(0));
        CPPUNIT_ASSERT(limiter.admit(workspace, 3, now + wait) == Duration(0));
    }

    // Guards against one busy workspace that uses up the rate of the others.
    void workspacesDoNotSpendEachOthersRate()
    {
        WorkspaceLimiter limiter;
        Workspace a;
        a.id = WorkspaceId("a");
        a.burstRequests = 2;
        Workspace b = a;
        b.id = WorkspaceId("b");
        for (int i = 0; i < 10; ++i)
            limiter.admit(a, 1, kStart);
        CPPUNIT_ASSERT(limiter.admit(a, 1, kStart) > Duration(0));
        CPPUNIT_ASSERT(limiter.admit(b, 1, kStart) == Duration(0));
    }

    // Guards against a limit that doesn't follow the latency of the upstream. The simulated
    // upstream meets its target up to 40 concurrent requests.
    void limitConvergesWhereTargetIsMet()
    {
        ConcurrencyLimiter limiter(200);
        TimePoint now = kStart;
        double low = 1000;
        double high = 0;
        for (int step = 0; step < 4000; ++step) {
            now += milliseconds(50);
            const double inFlight = limiter.limit();
            limiter.observeTokenTime(inFlight / 40);
            limiter.update(static_cast<std::uint32_t>(inFlight), now);
            if (step > 2000) {
                low = std::min(low, limiter.limit());
                high = std::max(high, limiter.limit());
            }
        }
        CPPUNIT_ASSERT(low > 25);
        CPPUNIT_ASSERT(high < 45);
    }

    // Guards against a limit that rises under low load and is far too high at the next burst.
    void limitDoesNotRiseWhileUnused()
    {
        ConcurrencyLimiter limiter(200);
        TimePoint now = kStart;
        limiter.observeOverload();
        limiter.update(200, now);
        const double reduced = limiter.limit();
        for (int step = 0; step < 1000; ++step) {
            now += milliseconds(50);
            limiter.observeTokenTime(0.1);
            limiter.update(5, now);
        }
        CPPUNIT_ASSERT_EQUAL(reduced, limiter.limit());
    }

    // Guards against outliers that reduce the limit again and again until hardly anything runs.
    void rareLateTokensDoNotReduceLimit()
    {
        ConcurrencyLimiter limiter(64);
        TimePoint now = kStart;
        double lowest = 64;
        for (int step = 0; step < 6000; ++step) {
            now += milliseconds(200);
            limiter.observeTokenTime(step % 33 == 0 ? 1.5 : 0.7);
            limiter.update(static_cast<std::uint32_t>(limiter.limit()), now);
            lowest = std::min(lowest, limiter.limit());
        }
        CPPUNIT_ASSERT(lowest > 50);
    }

    // Guards against a limit that falls to 1 because long prompts have a long time to first token
    // at any concurrency.
    void longPromptsDoNotReduceLimit()
    {
        ConcurrencyLimiter limiter(64);
        TimePoint now = kStart;
        double sum = 0;
        constexpr int kSteps = 12000;
        for (int step = 0; step < kSteps; ++step) {
            now += milliseconds(50);
            limiter.observeFirstToken(0.8);
            limiter.update(static_cast<std::uint32_t>(limiter.limit()), now);
            sum += limiter.limit();
        }
        CPPUNIT_ASSERT(sum / kSteps > 28);
    }

    // Guards against requests that wait inside an upstream with fewer slots than its configured
    // concurrency.
    void queueInsideUpstreamReducesLimit()
    {
        ConcurrencyLimiter limiter(64);
        TimePoint now = kStart;
        double highest = 0;
        for (int step = 0; step < 4000; ++step) {
            now += milliseconds(50);
            const auto inFlight = static_cast<std::uint32_t>(limiter.limit());
            limiter.observeFirstToken(0.05);
            if (step % 20 == 0)
                limiter.observeQueued(inFlight > 24 ? inFlight - 24 : 0);
            limiter.update(inFlight, now);
            if (step > 1000)
                highest = std::max(highest, limiter.limit());
        }
        CPPUNIT_ASSERT(highest < 27);
        CPPUNIT_ASSERT(limiter.limit() > 20);
    }

    // Guards against sending as many requests as before to an upstream that refuses them.
    void overloadReducesLimit()
    {
        ConcurrencyLimiter limiter(100);
        limiter.observeOverload();
        limiter.update(50, kStart);
        CPPUNIT_ASSERT(limiter.limit() < 80);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);

} // namespace hawthornslip
