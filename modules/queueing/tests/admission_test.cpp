#include "modules/queueing/admission.h"
#include "modules/queueing/return_advice.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr CallerWait kFresh{seconds(1), Duration(0), Duration(0)};

RequestPlacement waiting(Duration wait)
{
    RequestPlacement placement;
    placement.wait = wait;
    placement.prefillTime = milliseconds(50);
    return placement;
}

RequestDemand prompt()
{
    RequestDemand demand;
    demand.ownTokens = 800;
    return demand;
}

} // namespace

class AdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(sendsWhatIsReadSoon);
    CPPUNIT_TEST(holdsWhatCanStillBeInTime);
    CPPUNIT_TEST(holdsForASlot);
    CPPUNIT_TEST(refusesEarlyWhatCannotBeInTime);
    CPPUNIT_TEST(doesNotHoldForMoreThanHalfOfTheObjective);
    CPPUNIT_TEST(urgentRequestGoesBeforeLessUrgentOnes);
    CPPUNIT_TEST(largeSharedPromptWaitsForItsHome);
    CPPUNIT_TEST(waitsLongerForItsHomeWhileSlotsAreScarce);
    CPPUNIT_TEST(lateRequestTakesAFreeSlotElsewhere);
    CPPUNIT_TEST(dialoguesEnginesGetShortQueues);
    CPPUNIT_TEST(returnsAreSpreadWithinWhatCallersKeep);
    CPPUNIT_TEST_SUITE_END();

public:
    void sendsWhatIsReadSoon()
    {
        CPPUNIT_ASSERT(Admission::Send ==
                       decideAdmission(prompt(), waiting(milliseconds(20)), kFresh, false));
    }

    // Guards against a queue inside the engine, where a request cannot be told to come back.
    void holdsWhatCanStillBeInTime()
    {
        CPPUNIT_ASSERT(Admission::Hold ==
                       decideAdmission(prompt(), waiting(milliseconds(400)), kFresh, false));
    }

    void holdsForASlot()
    {
        auto full = waiting(Duration(0));
        full.isFull = true;
        CPPUNIT_ASSERT(Admission::Hold == decideAdmission(prompt(), full, kFresh, false));
    }

    // Guards against callers that wait for an answer that comes too late, instead of trying again.
    void refusesEarlyWhatCannotBeInTime()
    {
        CPPUNIT_ASSERT(Admission::Refuse ==
                       decideAdmission(prompt(), waiting(seconds(2)), kFresh, false));
        const CallerWait second{seconds(1), milliseconds(900), Duration(0)};
        CPPUNIT_ASSERT(Admission::Refuse ==
                       decideAdmission(prompt(), waiting(milliseconds(300)), second, false));
    }

    void doesNotHoldForMoreThanHalfOfTheObjective()
    {
        const CallerWait held{seconds(1), Duration(0), milliseconds(501)};
        CPPUNIT_ASSERT(Admission::Refuse ==
                       decideAdmission(prompt(), waiting(milliseconds(300)), held, false));
    }

    // Guards against urgent requests that are refused on an estimate while less urgent ones run.
    void urgentRequestGoesBeforeLessUrgentOnes()
    {
        CPPUNIT_ASSERT(Admission::Send ==
                       decideAdmission(prompt(), waiting(seconds(2)), kFresh, true));
    }

    // Guards against a shared prompt that is read once more at an engine that happens to be idle.
    void largeSharedPromptWaitsForItsHome()
    {
        auto demand = prompt();
        demand.sharedTokens = 5000;
        auto elsewhere = waiting(Duration(0));
        elsewhere.preferenceRank = ServiceBalancer::kPreferredCount;
        CPPUNIT_ASSERT(Admission::Hold == decideAdmission(demand, elsewhere, kFresh, false));
        const CallerWait held{seconds(1), Duration(0), milliseconds(260)};
        CPPUNIT_ASSERT(Admission::Send == decideAdmission(demand, elsewhere, held, false));
    }

    // Guards against engines that, in a rush, drop the prompts they keep for those of others.
    void waitsLongerForItsHomeWhileSlotsAreScarce()
    {
        auto demand = prompt();
        demand.sharedTokens = 5000;
        auto away = waiting(Duration(0));
        away.fullFraction = 0.9;
        away.preferenceRank = ServiceBalancer::kPreferredCount;
        const CallerWait held{seconds(1), Duration(0), milliseconds(260)};
        CPPUNIT_ASSERT(Admission::Hold == decideAdmission(demand, away, held, false));
        away.preferenceRank = 0;
        CPPUNIT_ASSERT(Admission::Send == decideAdmission(demand, away, kFresh, false));
        // It still goes before it would be refused.
        away.preferenceRank = ServiceBalancer::kPreferredCount;
        const CallerWait longer{seconds(1), Duration(0), milliseconds(450)};
        CPPUNIT_ASSERT(Admission::Send == decideAdmission(demand, away, longer, false));
    }

    // Guards against a caller that comes back after a refusal and is refused again, as its request
    // is too late to wait for its home, while there are slots enough elsewhere.
    void lateRequestTakesAFreeSlotElsewhere()
    {
        auto demand = prompt();
        demand.sharedTokens = 5000;
        auto away = waiting(Duration(0));
        away.preferenceRank = ServiceBalancer::kPreferredCount;
        const CallerWait late{seconds(1), seconds(2), Duration(0)};
        CPPUNIT_ASSERT(Admission::Send == decideAdmission(demand, away, late, false));
        // While slots are scarce they are left to those that can be in time.
        away.fullFraction = 0.9;
        CPPUNIT_ASSERT(Admission::Refuse == decideAdmission(demand, away, late, false));
    }

    // Guards against prompts in a row that make the dialogues on the same engine pause.
    void dialoguesEnginesGetShortQueues()
    {
        const CallerWait wait{seconds(3), Duration(0), Duration(0)};
        auto demand = prompt();
        CPPUNIT_ASSERT(Admission::Hold ==
                       decideAdmission(demand, waiting(milliseconds(200)), wait, false));
        demand.tolerance = PauseTolerance::Tolerant;
        CPPUNIT_ASSERT(Admission::Send ==
                       decideAdmission(demand, waiting(milliseconds(200)), wait, false));
    }

    // Guards against a refused crowd that comes back at one moment, or that is told a time after
    // which it does not come back.
    void returnsAreSpreadWithinWhatCallersKeep()
    {
        std::mt19937_64 random(3);
        const Duration left = seconds(12);
        Duration first = left;
        Duration last{0};
        for (int i = 0; i < 500; ++i) {
            const Duration advice = returnAfterRush(left, random);
            first = std::min(first, advice);
            last = std::max(last, advice);
            CPPUNIT_ASSERT(returnElsewhere(left, random) <= seconds(1));
        }
        CPPUNIT_ASSERT(last <= left / 3);
        CPPUNIT_ASSERT(last - first >= left / 6);
        CPPUNIT_ASSERT(returnElsewhere(milliseconds(200), random) <= milliseconds(50));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

} // namespace hawthornslip
