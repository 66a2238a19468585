#include "modules/balancing/engine_speed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

namespace hawthornslip {

namespace {

constexpr TimePoint kStart{seconds(1000)};
constexpr Duration kBetweenEvents = milliseconds(100);

/** @return the sums of @p samples first events that take @p ratio times those of other engines. */
EngineSpeedSums sumsOf(std::uint32_t samples, double ratio)
{
    return {samples, std::llround(samples * 100 * std::log(ratio))};
}

FirstEventSample makeSample(const std::string &domain, double tokens, Duration time)
{
    return {FailureDomain(domain), tokens, true, 0, time};
}

} // namespace

class EngineSpeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineSpeedTest);
    CPPUNIT_TEST(engineWithoutObservationsHasTheSpeedOfTheService);
    CPPUNIT_TEST(equalEnginesKeepTheSpeedOfTheService);
    CPPUNIT_TEST(singleEventSaysLittle);
    CPPUNIT_TEST(sumsOfPeersCountAsOwnObservations);
    CPPUNIT_TEST(momentarySlownessIsNoticedAndForgotten);
    CPPUNIT_TEST(speedReturnsToThePriorWithoutEvidence);
    CPPUNIT_TEST(referenceNeedsEvents);
    CPPUNIT_TEST(slowEngineStandsOutInEachSituation);
    CPPUNIT_TEST(distanceIsNotSlowness);
    CPPUNIT_TEST_SUITE_END();

public:
    void engineWithoutObservationsHasTheSpeedOfTheService()
    {
        CPPUNIT_ASSERT_EQUAL(1.0, EngineSpeed().factor(kStart));
    }

    // Guards against decisions that differ from those without speeds because of chance alone.
    void equalEnginesKeepTheSpeedOfTheService()
    {
        std::minstd_rand random(3);
        std::lognormal_distribution<double> noise(0, 0.3);
        EngineSpeed speed;
        TimePoint now = kStart;
        int different = 0;
        for (int i = 0; i < 1000; ++i) {
            speed.add(sumsOf(1, noise(random)), now += kBetweenEvents);
            different += speed.factor(now) == 1 ? 0 : 1;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(different), different < 50);
    }

    // Guards against an engine that is avoided because one prompt waited for others.
    void singleEventSaysLittle()
    {
        EngineSpeed speed;
        speed.add(sumsOf(1, 20), kStart);
        CPPUNIT_ASSERT(speed.factor(kStart) > 0.9);
    }

    // Guards against a node that sends too few prompts to an engine to know it.
    void sumsOfPeersCountAsOwnObservations()
    {
        EngineSpeed slow;
        slow.add(sumsOf(3, 2), kStart);
        slow.add(sumsOf(20, 2), kStart);
        CPPUNIT_ASSERT(slow.factor(kStart) < 0.7);
        EngineSpeed fast;
        fast.add(sumsOf(23, 0.5), kStart);
        CPPUNIT_ASSERT(fast.factor(kStart) > 1.4);
    }

    // Guards against an engine that is throttled for a moment: prompts queue up at it, and later it
    // stays idle.
    void momentarySlownessIsNoticedAndForgotten()
    {
        EngineSpeed speed;
        TimePoint now = kStart;
        for (int i = 0; i < 50; ++i)
            speed.add(sumsOf(1, 1), now += kBetweenEvents);
        for (int i = 0; i < 5; ++i)
            speed.add(sumsOf(1, 3), now += kBetweenEvents);
        CPPUNIT_ASSERT(speed.factor(now) < 0.75);
        for (int i = 0; i < 20; ++i)
            speed.add(sumsOf(1, 3), now += kBetweenEvents);
        CPPUNIT_ASSERT(speed.factor(now) < 0.55);
        for (int i = 0; i < 6; ++i)
            speed.add(sumsOf(1, 1), now += kBetweenEvents);
        CPPUNIT_ASSERT(speed.factor(now) > 0.9);
    }

    // Guards against an engine that was slow once and is never tried again.
    void speedReturnsToThePriorWithoutEvidence()
    {
        EngineSpeed speed;
        speed.add(sumsOf(50, 3), kStart);
        CPPUNIT_ASSERT(speed.factor(kStart) < 0.6);
        CPPUNIT_ASSERT_EQUAL(1.0, speed.factor(kStart + seconds(30)));
    }

    void referenceNeedsEvents()
    {
        FirstEventReference reference;
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(!reference.observe(makeSample("a", 5000, milliseconds(100))));
        const auto sums = reference.observe(makeSample("a", 5000, milliseconds(100)));
        CPPUNIT_ASSERT(sums.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, sums->logSlowness);
    }

    // Guards against long prompts that make their engine look slow.
    void slowEngineStandsOutInEachSituation()
    {
        FirstEventReference reference;
        for (const double tokens : {500.0, 2000.0, 8000.0}) {
            const auto timeOf = [tokens](double slowness) {
                return milliseconds(static_cast<std::int64_t>((30 + tokens / 50) * slowness));
            };
            for (int i = 0; i < 20; ++i)
                reference.observe(makeSample("a", tokens, timeOf(1)));
            const auto usual = reference.observe(makeSample("a", tokens, timeOf(1)));
            CPPUNIT_ASSERT(std::abs(usual->logSlowness) < 5);
            const auto slow = reference.observe(makeSample("a", tokens, timeOf(2)));
            CPPUNIT_ASSERT_DOUBLES_EQUAL(69, static_cast<double>(slow->logSlowness), 5);
        }
    }

    // Guards against engines of another failure domain that get less work because the answer takes
    // longer to arrive.
    void distanceIsNotSlowness()
    {
        FirstEventReference reference;
        std::optional<EngineSpeedSums> distant;
        for (int i = 0; i < 200; ++i) {
            for (const double tokens : {500.0, 5000.0}) {
                const auto time = milliseconds(static_cast<std::int64_t>(20 + tokens / 100));
                reference.observe(makeSample("near", tokens, time));
                distant = reference.observe(makeSample("far", tokens, time + milliseconds(40)));
            }
        }
        CPPUNIT_ASSERT(distant.has_value());
        CPPUNIT_ASSERT(std::abs(distant->logSlowness) < 5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineSpeedTest);

} // namespace hawthornslip
