#include "modules/balancing/prefill_interference.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr TimePoint kStart{seconds(1000)};
// Engines with this rate prefill 10,000 tokens in 200 ms.
constexpr double kPrefillRate = 50'000;
constexpr Duration kTightest = milliseconds(200);

} // namespace

class PrefillInterferenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrefillInterferenceTest);
    CPPUNIT_TEST(longPromptsRunApartWhateverTheRatioOfObjectives);
    CPPUNIT_TEST(shortPromptsShareEngines);
    CPPUNIT_TEST(slowStreamsLeaveLessTimeForPrefill);
    CPPUNIT_TEST(streamsThatDisturbThemselvesAreNotSeparated);
    CPPUNIT_TEST(firstRequestIsClassifiedWithoutHistory);
    CPPUNIT_TEST(removedRouteIsForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against dialogues beside prompts that each take as long as their pause objective,
    // because the objectives of both routes are similar.
    void longPromptsRunApartWhateverTheRatioOfObjectives()
    {
        for (const Duration pause : {milliseconds(210), milliseconds(300), milliseconds(1000)}) {
            PrefillInterference interference;
            interference.onRequest("dialogue", kTightest, 800, kStart);
            interference.onRequest("report", pause, 9'000, kStart);
            CPPUNIT_ASSERT(interference.toleranceOf("report", kTightest, kPrefillRate) ==
                           PauseTolerance::Tolerant);
            CPPUNIT_ASSERT(interference.toleranceOf("dialogue", kTightest, kPrefillRate) ==
                           PauseTolerance::Sensitive);
        }
    }

    // Guards against short requests that wait behind long prompts because their own objective
    // happens to be lenient.
    void shortPromptsShareEngines()
    {
        PrefillInterference interference;
        interference.onRequest("dialogue", kTightest, 800, kStart);
        interference.onRequest("summary", milliseconds(800), 2'400, kStart);
        CPPUNIT_ASSERT(interference.toleranceOf("summary", kTightest, kPrefillRate) ==
                       PauseTolerance::Sensitive);
    }

    // Guards against a rule that ignores how long the stream itself takes for an event.
    void slowStreamsLeaveLessTimeForPrefill()
    {
        PrefillInterference interference;
        interference.onRequest("dialogue", kTightest, 800, kStart);
        interference.onRequest("summary", milliseconds(400), 3'000, kStart);
        interference.onStream("dialogue", milliseconds(40));
        CPPUNIT_ASSERT(interference.toleranceOf("summary", kTightest, kPrefillRate) ==
                       PauseTolerance::Sensitive);
        PrefillInterference slow;
        slow.onRequest("dialogue", kTightest, 800, kStart);
        slow.onRequest("summary", milliseconds(400), 3'000, kStart);
        slow.onStream("dialogue", milliseconds(120));
        CPPUNIT_ASSERT(slow.toleranceOf("summary", kTightest, kPrefillRate) ==
                       PauseTolerance::Tolerant);
    }

    // Guards against giving up engines for streams that are late beside each other anyway.
    void streamsThatDisturbThemselvesAreNotSeparated()
    {
        PrefillInterference interference;
        interference.onRequest("dossier", kTightest, 9'000, kStart);
        interference.onRequest("report", milliseconds(300), 9'000, kStart);
        CPPUNIT_ASSERT(interference.toleranceOf("report", kTightest, kPrefillRate) ==
                       PauseTolerance::Sensitive);
    }

    // Guards against the first reports after a start running among the dialogues of other nodes.
    void firstRequestIsClassifiedWithoutHistory()
    {
        PrefillInterference interference;
        interference.onRequest("report", milliseconds(300), 9'000, kStart);
        CPPUNIT_ASSERT(interference.toleranceOf("report", kTightest, kPrefillRate) ==
                       PauseTolerance::Tolerant);
        CPPUNIT_ASSERT(interference.toleranceOf("report", Duration(0), kPrefillRate) ==
                       PauseTolerance::Sensitive);
    }

    // Guards against engines kept apart for streams of a route that was removed.
    void removedRouteIsForgotten()
    {
        PrefillInterference interference;
        interference.onRequest("dialogue", kTightest, 800, kStart);
        const TimePoint later = kStart + seconds(200);
        interference.onRequest("report", milliseconds(700), 9'000, later);
        interference.onRequest("report", milliseconds(700), 9'000, later + seconds(70));
        CPPUNIT_ASSERT(interference.toleranceOf("report", milliseconds(700), kPrefillRate) ==
                       PauseTolerance::Sensitive);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefillInterferenceTest);

} // namespace hawthornslip
