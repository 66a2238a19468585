#include "modules/quarantine/end_evidence.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr TimePoint kStart{seconds(100)};
using Conclusion = EndEvidence::Conclusion;

EndEvidence lostAt(TimePoint at, bool hadBegun = true)
{
    EndEvidence evidence(ProcessListing::Listed);
    evidence.onLost(hadBegun, at);
    return evidence;
}

} // namespace

class EndEvidenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndEvidenceTest);
    CPPUNIT_TEST(refusedPortEndsAProcessAlsoAtALaterAsk);
    CPPUNIT_TEST(portThatAnswersNothingEndsAProcessThatHadBegun);
    CPPUNIT_TEST(fullUpstreamIsNotTakenForAnEndedOne);
    CPPUNIT_TEST(bytesOnAnOlderConnectionShowThatTheProcessGoesOn);
    CPPUNIT_TEST(listingCountsOnlyIfItIsNews);
    CPPUNIT_TEST(processIsAskedAgainForALaterLoss);
    CPPUNIT_TEST(processThatAnswersIsDroppedInTheEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a single ask, which a process still answers that exits after its connections.
    void refusedPortEndsAProcessAlsoAtALaterAsk()
    {
        EndEvidence evidence = lostAt(kStart);
        CPPUNIT_ASSERT(evidence.nextLook()->asks);
        evidence.onProbed(ProbeResult::Answered);
        CPPUNIT_ASSERT(evidence.conclusion() == Conclusion::Unknown);
        CPPUNIT_ASSERT(evidence.nextLook()->asks);
        evidence.onProbed(ProbeResult::Refused);
        CPPUNIT_ASSERT(evidence.conclusion() == Conclusion::Ended);
    }

    // Guards against a port that another process holds.
    void portThatAnswersNothingEndsAProcessThatHadBegun()
    {
        EndEvidence evidence = lostAt(kStart);
        evidence.onProbed(ProbeResult::Unanswered);
        CPPUNIT_ASSERT(evidence.conclusion() == Conclusion::Unknown);
        evidence.onProbed(ProbeResult::Unanswered);
        CPPUNIT_ASSERT(evidence.conclusion() == Conclusion::Ended);
    }

    // Guards against evidence from an upstream that resets connections beyond its number.
    void fullUpstreamIsNotTakenForAnEndedOne()
    {
        EndEvidence evidence = lostAt(kStart, false);
        evidence.onProbed(ProbeResult::Unanswered);
        evidence.onProbed(ProbeResult::Unanswered);
        evidence.onProbed(ProbeResult::Silent);
        CPPUNIT_ASSERT(evidence.conclusion() == Conclusion::Unknown);
    }

    // Guards against a cut of one connection that is taken for the end of the process, and against
    // bytes that a process had sent before its end.
    void bytesOnAnOlderConnectionShowThatTheProcessGoesOn()
    {
        EndEvidence evidence = lostAt(kStart);
        evidence.onBytes(kStart - seconds(1), kStart + milliseconds(5));
        CPPUNIT_ASSERT(evidence.conclusion() == Conclusion::Unknown);
        evidence.onBytes(kStart + milliseconds(10), kStart + milliseconds(90));
        CPPUNIT_ASSERT(evidence.conclusion() == Conclusion::Unknown);
        evidence.onBytes(kStart - seconds(1), kStart + milliseconds(90));
        CPPUNIT_ASSERT(evidence.conclusion() == Conclusion::Dropped);
    }

    // Guards against blame for what a process loses that had left the list before.
    void listingCountsOnlyIfItIsNews()
    {
        EndEvidence left(ProcessListing::Gone);
        left.onLost(true, kStart);
        left.onListing(ProcessListing::Gone);
        CPPUNIT_ASSERT(left.conclusion() == Conclusion::Unknown);
        left.onListing(ProcessListing::Replaced);
        CPPUNIT_ASSERT(left.conclusion() == Conclusion::Ended);
        EndEvidence listed = lostAt(kStart);
        listed.onListing(ProcessListing::Gone);
        CPPUNIT_ASSERT(listed.conclusion() == Conclusion::Ended);
    }

    // Guards against the end of a process that is asked no more after a cut shortly before.
    void processIsAskedAgainForALaterLoss()
    {
        EndEvidence evidence = lostAt(kStart);
        while (evidence.willAsk()) {
            evidence.nextLook();
            evidence.onProbed(ProbeResult::Answered);
        }
        evidence.onLost(true, kStart + seconds(1));
        CPPUNIT_ASSERT(evidence.willAsk());
    }

    // Guards against attempts that are kept for ever.
    void processThatAnswersIsDroppedInTheEnd()
    {
        EndEvidence evidence = lostAt(kStart);
        Duration waited{0};
        while (const auto look = evidence.nextLook())
            waited += look->wait;
        CPPUNIT_ASSERT(evidence.conclusion() == Conclusion::Dropped);
        // By then the platform's list has dropped a process that ended.
        CPPUNIT_ASSERT_GREATER(3 * milliseconds(1200) + milliseconds(400), waited);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndEvidenceTest);

} // namespace hawthornslip
