#include "modules/retry/execution_tracker.h"
#include "modules/retry/sliding_window_retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>

namespace hawthornslip {

class SlidingWindowRetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlidingWindowRetryBudgetTest);
    CPPUNIT_TEST(staysWithinRatioInEveryWindow);
    CPPUNIT_TEST(forgetsOldRequests);
    CPPUNIT_TEST(trackerReportsNotRunOnlyWhenCertain);
    CPPUNIT_TEST(trackerKeepsEarlierAttempts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a burst of retries that exceeds the ratio in a window at any position.
    void staysWithinRatioInEveryWindow()
    {
        constexpr double kRatio = 0.2;
        const Duration window = seconds(10);
        SlidingWindowRetryBudget budget(kRatio, window);
        std::mt19937_64 random(3);
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
        TimePoint now{seconds(50)};
        for (int i = 0; i < 20'000; ++i) {
            now += Duration(random() % 20'000);
            // Bursts of requests alternate with pauses, while retries are requested all the time.
            if (i % 3000 < 1500) {
                budget.onRequest(now);
                requests.push_back(now);
            }
            if (budget.tryTake(now))
                retries.push_back(now);
            while (!requests.empty() && requests.front() <= now - 2 * window)
                requests.pop_front();
            while (!retries.empty() && retries.front() <= now - window)
                retries.pop_front();
            // Requests of the same window or of the one before it count.
            CPPUNIT_ASSERT(static_cast<double>(retries.size()) <=
                           kRatio * static_cast<double>(requests.size()));
        }
    }

    void forgetsOldRequests()
    {
        SlidingWindowRetryBudget budget(0.5, seconds(10));
        const TimePoint start{seconds(100)};
        for (int i = 0; i < 10; ++i)
            budget.onRequest(start);
        CPPUNIT_ASSERT(budget.available(start) == 5);
        CPPUNIT_ASSERT(budget.tryTake(start));
        CPPUNIT_ASSERT(budget.available(start + seconds(30)) == 0);
        CPPUNIT_ASSERT(!budget.tryTake(start + seconds(30)));
    }

    // Guards against a 503 for a request that an upstream may have begun.
    void trackerReportsNotRunOnlyWhenCertain()
    {
        ExecutionTracker tracker;
        CPPUNIT_ASSERT(tracker.isCertainlyNotRun());
        tracker.beginAttempt();
        tracker.setState(AttemptState::Sent);
        CPPUNIT_ASSERT(!tracker.isCertainlyNotRun());
        tracker.setState(AttemptState::Refused);
        CPPUNIT_ASSERT(tracker.isCertainlyNotRun());
        tracker.setState(AttemptState::Lost);
        CPPUNIT_ASSERT(tracker.execution() == Execution::MayHaveRun);
        tracker.setState(AttemptState::Finished);
        CPPUNIT_ASSERT(tracker.execution() == Execution::Ran);
    }

    // Guards against a refusal by the second upstream that hides that the first may have run the
    // request.
    void trackerKeepsEarlierAttempts()
    {
        ExecutionTracker tracker;
        tracker.beginAttempt();
        tracker.setState(AttemptState::Lost);
        tracker.beginAttempt();
        tracker.setState(AttemptState::Refused);
        CPPUNIT_ASSERT(tracker.execution() == Execution::MayHaveRun);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlidingWindowRetryBudgetTest);

} // namespace hawthornslip
