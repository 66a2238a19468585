#include "modules/retry/run_ledger.h"
#include "modules/retry/window_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>

namespace hawthornslip {

class WindowBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WindowBudgetTest);
    CPPUNIT_TEST(staysWithinRatioInEveryWindow);
    CPPUNIT_TEST(forgetsOldRequests);
    CPPUNIT_TEST(ledgerPromisesOnlyWhatIsCertain);
    CPPUNIT_TEST(ledgerKeepsEarlierAttempts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a rush of repeats that exceeds the ratio in some window of any position.
    void staysWithinRatioInEveryWindow()
    {
        constexpr double kRatio = 0.2;
        const Duration window = seconds(10);
        WindowBudget budget(kRatio, window);
        std::mt19937_64 random(3);
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
        TimePoint now{seconds(50)};
        for (int i = 0; i < 20'000; ++i) {
            now += Duration(random() % 20'000);
            // Bursts of requests alternate with silence, while repeats are wanted all the time.
            if (i % 3000 < 1500) {
                budget.onRequest(now);
                requests.push_back(now);
            }
            if (budget.tryTake(now))
                repeats.push_back(now);
            while (!requests.empty() && requests.front() <= now - 2 * window)
                requests.pop_front();
            while (!repeats.empty() && repeats.front() <= now - window)
                repeats.pop_front();
            // The rule counts the requests of the same window or of the one before it.
            CPPUNIT_ASSERT(static_cast<double>(repeats.size()) <=
                           kRatio * static_cast<double>(requests.size()));
        }
    }

    void forgetsOldRequests()
    {
        WindowBudget budget(0.5, seconds(10));
        const TimePoint start{seconds(100)};
        for (int i = 0; i < 10; ++i)
            budget.onRequest(start);
        CPPUNIT_ASSERT(budget.available(start) == 5);
        CPPUNIT_ASSERT(budget.tryTake(start));
        CPPUNIT_ASSERT(budget.available(start + seconds(30)) == 0);
        CPPUNIT_ASSERT(!budget.tryTake(start + seconds(30)));
    }

    // Guards against a 503 for a request that an upstream may have begun.
    void ledgerPromisesOnlyWhatIsCertain()
    {
        RunLedger ledger;
        CPPUNIT_ASSERT(ledger.isCertainlyNotRun());
        ledger.beginAttempt();
        ledger.set(AttemptState::Sent);
        CPPUNIT_ASSERT(!ledger.isCertainlyNotRun());
        ledger.set(AttemptState::Refused);
        CPPUNIT_ASSERT(ledger.isCertainlyNotRun());
        ledger.set(AttemptState::Lost);
        CPPUNIT_ASSERT(ledger.execution() == Execution::MayHaveRun);
        ledger.set(AttemptState::Finished);
        CPPUNIT_ASSERT(ledger.execution() == Execution::Ran);
    }

    // Guards against a second upstream's refusal that hides what the first one may have done.
    void ledgerKeepsEarlierAttempts()
    {
        RunLedger ledger;
        ledger.beginAttempt();
        ledger.set(AttemptState::Lost);
        ledger.beginAttempt();
        ledger.set(AttemptState::Refused);
        CPPUNIT_ASSERT(ledger.execution() == Execution::MayHaveRun);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WindowBudgetTest);

} // namespace hawthornslip
