#include "modules/estimation/length_estimator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

namespace hawthornslip {

class LengthEstimatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LengthEstimatorTest);
    CPPUNIT_TEST(observationsOutweighPrior);
    CPPUNIT_TEST(quantilesMatchLongTail);
    CPPUNIT_TEST(meanRemainingGrowsWithGeneratedTokens);
    CPPUNIT_TEST(truncatedResponsesDoNotLowerTheMedian);
    CPPUNIT_TEST(truncatedResponsesCountAsLonger);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an estimate that stays at the configured prior.
    void observationsOutweighPrior()
    {
        LengthEstimator lengths(200);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200, lengths.remaining(0.5), 30);
        for (int i = 0; i < 100; ++i)
            lengths.observe(2000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, lengths.remaining(0.5), 200);
    }

    // Guards against an estimate that ignores the few very long responses of a long tail.
    void quantilesMatchLongTail()
    {
        LengthEstimator lengths(200);
        std::mt19937_64 random(7);
        std::lognormal_distribution<double> draw(std::log(300.0), 1.2);
        for (int i = 0; i < 5000; ++i)
            lengths.observe(static_cast<std::uint32_t>(draw(random)) + 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(300, lengths.remaining(0.5), 60);
        const double q90 = 300 * std::exp(1.2816 * 1.2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(q90, lengths.remaining(0.9), 0.25 * q90);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, lengths.probabilityWithin(q90), 0.04);
    }

    // Guards against assuming that a long-running response of a long-tailed profile is nearly done.
    void meanRemainingGrowsWithGeneratedTokens()
    {
        LengthEstimator lengths(200);
        std::mt19937_64 random(8);
        std::lognormal_distribution<double> draw(std::log(200.0), 1.2);
        for (int i = 0; i < 2000; ++i)
            lengths.observe(static_cast<std::uint32_t>(draw(random)) + 1);
        CPPUNIT_ASSERT(lengths.meanRemaining(1000) > 1.5 * lengths.meanRemaining(0));
    }

    // Guards against cancelled responses that count as complete and make all responses look short.
    void truncatedResponsesDoNotLowerTheMedian()
    {
        LengthEstimator lengths(200);
        for (int i = 0; i < 200; ++i) {
            lengths.observe(1000);
            lengths.observeTruncated(50);
        }
        CPPUNIT_ASSERT(lengths.remaining(0.5) > 800);
    }

    // Guards against losing the long tail when callers cancel long responses before their end.
    void truncatedResponsesCountAsLonger()
    {
        LengthEstimator lengths(200);
        for (int i = 0; i < 200; ++i) {
            lengths.observe(100);
            lengths.observeTruncated(500);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, lengths.probabilityWithin(400), 0.1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LengthEstimatorTest);

} // namespace hawthornslip
