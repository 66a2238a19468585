#include "modules/retry/hedge_policy.h"
#include "modules/retry/retry_policy.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

class RetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryTest);
    CPPUNIT_TEST(nonIdempotentIsRetriedOnlyWhenNotRun);
    CPPUNIT_TEST(relayedTokensAreNeverSentAgain);
    CPPUNIT_TEST(retriesStayWithinBudget);
    CPPUNIT_TEST(noRetryAfterDeadline);
    CPPUNIT_TEST(hedgeOnlyForIdempotent);
    CPPUNIT_TEST_SUITE_END();

    static FailedAttempt failure(bool notRun, std::uint32_t tokens = 0)
    {
        return {notRun, 1, tokens, seconds(10)};
    }

public:
    // Guards against a non-idempotent request that runs twice (invariant I5).
    void nonIdempotentIsRetriedOnlyWhenNotRun()
    {
        RetryBudget budget(0.1);
        Profile nonIdempotent;
        nonIdempotent.idempotent = false;
        CPPUNIT_ASSERT(RetryPolicy::decide(nonIdempotent, failure(false), budget) ==
                       RetryDecision::Stop);
        CPPUNIT_ASSERT(RetryPolicy::decide(nonIdempotent, failure(true), budget) ==
                       RetryDecision::Retry);
    }

    // Guards against a caller that gets the beginning of an answer twice.
    void relayedTokensAreNeverSentAgain()
    {
        RetryBudget budget(0.1);
        Profile chat;
        CPPUNIT_ASSERT(RetryPolicy::decide(chat, failure(false, 7), budget) ==
                       RetryDecision::Resume);
        chat.resumable = false;
        CPPUNIT_ASSERT(RetryPolicy::decide(chat, failure(false, 7), budget) == RetryDecision::Stop);
    }

    // Guards against retries that multiply the load of a failing system.
    void retriesStayWithinBudget()
    {
        RetryBudget budget(0.1);
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            if (i % 2 == 0)
                budget.onSuccess();
            else if (RetryPolicy::decide(Profile{}, failure(true), budget) == RetryDecision::Retry)
                ++retries;
        }
        CPPUNIT_ASSERT(retries <= 53);
        CPPUNIT_ASSERT(retries >= 45);
    }

    // Guards against retries whose answer is discarded because the deadline has passed.
    void noRetryAfterDeadline()
    {
        RetryBudget budget(0.1);
        FailedAttempt failed = failure(true);
        failed.remaining = milliseconds(5);
        CPPUNIT_ASSERT(RetryPolicy::decide(Profile{}, failed, budget) == RetryDecision::Stop);
    }

    // Guards against a hedge that runs a non-idempotent request twice, and against a hedge without
    // enough samples.
    void hedgeOnlyForIdempotent()
    {
        HedgePolicy hedge;
        Profile chat;
        CPPUNIT_ASSERT(!hedge.delay(chat));
        for (int i = 0; i < 100; ++i)
            hedge.observeFirstToken(milliseconds(i < 97 ? 400 : 5000));
        const auto delay = hedge.delay(chat);
        CPPUNIT_ASSERT(delay && *delay >= milliseconds(350) && *delay <= milliseconds(700));
        chat.idempotent = false;
        CPPUNIT_ASSERT(!hedge.delay(chat));
        RetryBudget budget(0.1);
        CPPUNIT_ASSERT(!HedgePolicy::tryStart(chat, budget));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);

} // namespace hawthornslip
