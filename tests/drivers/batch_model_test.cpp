#include "tests/standins/batch_model.h"
#include "tests/standins/prefix_cache.h"
#include "tests/support/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip::standin {

namespace {

BatchJob makeJob(std::uint64_t handle, int priority, std::uint32_t tokens)
{
    BatchJob job;
    job.handle = handle;
    job.priority = priority;
    job.tokens = tokens;
    return job;
}

/** Runs the model until it is idle. @return the handles in the order in which they finished. */
std::vector<std::uint64_t> finishOrder(BatchModel &model)
{
    std::vector<std::uint64_t> order;
    while (const auto due = model.nextDue()) {
        for (const auto &event : model.advance(*due)) {
            if (event.kind == BatchEvent::Kind::Finished)
                order.push_back(event.handle);
        }
    }
    return order;
}

} // namespace

/** Guards the engine model against a wrong batch: load figures would then mean nothing. */
class BatchModelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchModelTest);
    CPPUNIT_TEST(stepGrowsWithTheNumberRunning);
    CPPUNIT_TEST(waitingJobsStartByPriority);
    CPPUNIT_TEST(fullQueueRefuses);
    CPPUNIT_TEST(resumedAnswerContinuesAtItsToken);
    CPPUNIT_TEST(cancelledJobFreesItsSlot);
    CPPUNIT_TEST(knownPrefixIsCachedUntilPushedOut);
    CPPUNIT_TEST_SUITE_END();

public:
    void stepGrowsWithTheNumberRunning()
    {
        BatchModel model(makeSpec(4, 4));
        const TimePoint start{seconds(1)};
        model.submit(start, makeJob(1, 0, 10));
        model.advance(start);
        const auto alone = *model.nextDue() - start;
        model.submit(start, makeJob(2, 0, 10));
        const auto second = start + alone;
        model.advance(second);
        CPPUNIT_ASSERT(*model.nextDue() - second > alone);
    }

    void waitingJobsStartByPriority()
    {
        BatchModel model(makeSpec(1, 4));
        model.submit(TimePoint{}, makeJob(1, 1, 2));
        model.submit(TimePoint{}, makeJob(2, 2, 2));
        model.submit(TimePoint{}, makeJob(3, 0, 2));
        CPPUNIT_ASSERT((finishOrder(model) == std::vector<std::uint64_t>{1, 3, 2}));
    }

    void fullQueueRefuses()
    {
        BatchModel model(makeSpec(1, 1));
        CPPUNIT_ASSERT(model.submit(TimePoint{}, makeJob(1, 0, 2)));
        CPPUNIT_ASSERT(model.submit(TimePoint{}, makeJob(2, 0, 2)));
        CPPUNIT_ASSERT(!model.submit(TimePoint{}, makeJob(3, 0, 2)));
    }

    void resumedAnswerContinuesAtItsToken()
    {
        BatchModel model(makeSpec(1, 1));
        auto job = makeJob(1, 0, 5);
        job.firstToken = 3;
        model.submit(TimePoint{}, job);
        std::vector<std::uint32_t> tokens;
        while (const auto due = model.nextDue()) {
            for (const auto &event : model.advance(*due)) {
                if (event.kind == BatchEvent::Kind::Token)
                    tokens.push_back(event.token);
            }
        }
        CPPUNIT_ASSERT((tokens == std::vector<std::uint32_t>{3, 4}));
    }

    void cancelledJobFreesItsSlot()
    {
        BatchModel model(makeSpec(1, 1));
        model.submit(TimePoint{}, makeJob(1, 0, 1000));
        model.submit(TimePoint{}, makeJob(2, 0, 2));
        CPPUNIT_ASSERT(model.cancel(1));
        CPPUNIT_ASSERT((finishOrder(model) == std::vector<std::uint64_t>{2}));
        CPPUNIT_ASSERT(!model.cancel(1));
    }

    void knownPrefixIsCachedUntilPushedOut()
    {
        PrefixCache cache(4);
        const std::string first(128, 'a');
        const std::string second(256, 'b');
        CPPUNIT_ASSERT_EQUAL(0U, cache.useTokens(first));
        CPPUNIT_ASSERT_EQUAL(32U, cache.useTokens(first));
        cache.useTokens(second);
        CPPUNIT_ASSERT_EQUAL(0U, cache.useTokens(first));
    }

private:
    static BatchSpec makeSpec(std::uint32_t slots, std::uint32_t queue)
    {
        BatchSpec spec;
        spec.slots = slots;
        spec.maxQueue = queue;
        return spec;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchModelTest);

} // namespace hawthornslip::standin
