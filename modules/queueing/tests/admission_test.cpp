#include "modules/queueing/admission.h"
#include "modules/queueing/retry_delay.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr CallerWait kFresh{seconds(1), Duration(0), Duration(0)};

Placement makePlacement(Duration wait)
{
    Placement placement;
    placement.wait = wait;
    placement.read = milliseconds(50);
    return placement;
}

Demand makeDemand()
{
    Demand demand;
    demand.ownTokens = 800;
    return demand;
}

} // namespace

class AdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(sendsWhenPrefillStartsSoon);
    CPPUNIT_TEST(holdsWhileTheObjectiveCanBeMet);
    CPPUNIT_TEST(holdsForASlot);
    CPPUNIT_TEST(refusesWhenTheObjectiveCannotBeMet);
    CPPUNIT_TEST(doesNotHoldForMoreThanHalfOfTheObjective);
    CPPUNIT_TEST(urgentRequestGoesBeforeLessUrgentOnes);
    CPPUNIT_TEST(largeSharedPromptWaitsForPreferredUpstream);
    CPPUNIT_TEST(waitsLongerForPreferredUpstreamWhileSlotsAreScarce);
    CPPUNIT_TEST(lateRequestTakesAFreeSlotElsewhere);
    CPPUNIT_TEST(pauseSensitiveRequestsGetShortQueues);
    CPPUNIT_TEST(retryDelaysAreSpreadWithinCallerLimits);
    CPPUNIT_TEST_SUITE_END();

public:
    void sendsWhenPrefillStartsSoon()
    {
        CPPUNIT_ASSERT(AdmissionDecision::Send == decideAdmission(makeDemand(),
                                                                  makePlacement(milliseconds(20)),
                                                                  kFresh, false));
    }

    // Guards against a queue inside the engine, where a request cannot be told to come back.
    void holdsWhileTheObjectiveCanBeMet()
    {
        CPPUNIT_ASSERT(AdmissionDecision::Hold == decideAdmission(makeDemand(),
                                                                  makePlacement(milliseconds(400)),
                                                                  kFresh, false));
    }

    void holdsForASlot()
    {
        auto full = makePlacement(Duration(0));
        full.isFull = true;
        CPPUNIT_ASSERT(AdmissionDecision::Hold ==
                       decideAdmission(makeDemand(), full, kFresh, false));
    }

    // Guards against callers that wait for an answer that comes too late, instead of trying again.
    void refusesWhenTheObjectiveCannotBeMet()
    {
        CPPUNIT_ASSERT(AdmissionDecision::Refuse ==
                       decideAdmission(makeDemand(), makePlacement(seconds(2)), kFresh, false));
        const CallerWait second{seconds(1), milliseconds(900), Duration(0)};
        CPPUNIT_ASSERT(
                AdmissionDecision::Refuse ==
                decideAdmission(makeDemand(), makePlacement(milliseconds(300)), second, false));
    }

    void doesNotHoldForMoreThanHalfOfTheObjective()
    {
        const CallerWait held{seconds(1), Duration(0), milliseconds(501)};
        CPPUNIT_ASSERT(
                AdmissionDecision::Refuse ==
                decideAdmission(makeDemand(), makePlacement(milliseconds(300)), held, false));
    }

    // Guards against urgent requests that are refused on an estimate while less urgent ones run.
    void urgentRequestGoesBeforeLessUrgentOnes()
    {
        CPPUNIT_ASSERT(AdmissionDecision::Send ==
                       decideAdmission(makeDemand(), makePlacement(seconds(2)), kFresh, true));
    }

    // Guards against a shared prompt that is read once more at an engine that happens to be idle.
    void largeSharedPromptWaitsForPreferredUpstream()
    {
        auto demand = makeDemand();
        demand.sharedTokens = 5000;
        auto elsewhere = makePlacement(Duration(0));
        elsewhere.homeRank = ServiceBalancer::kHomes;
        CPPUNIT_ASSERT(AdmissionDecision::Hold ==
                       decideAdmission(demand, elsewhere, kFresh, false));
        const CallerWait held{seconds(1), Duration(0), milliseconds(260)};
        CPPUNIT_ASSERT(AdmissionDecision::Send == decideAdmission(demand, elsewhere, held, false));
    }

    // Guards against engines that, in a rush, drop the prompts they keep for those of others.
    void waitsLongerForPreferredUpstreamWhileSlotsAreScarce()
    {
        auto demand = makeDemand();
        demand.sharedTokens = 5000;
        auto away = makePlacement(Duration(0));
        away.fullPart = 0.9;
        away.homeRank = ServiceBalancer::kHomes;
        const CallerWait held{seconds(1), Duration(0), milliseconds(260)};
        CPPUNIT_ASSERT(AdmissionDecision::Hold == decideAdmission(demand, away, held, false));
        away.homeRank = 0;
        CPPUNIT_ASSERT(AdmissionDecision::Send == decideAdmission(demand, away, kFresh, false));
        // It still goes before it would be refused.
        away.homeRank = ServiceBalancer::kHomes;
        const CallerWait longer{seconds(1), Duration(0), milliseconds(450)};
        CPPUNIT_ASSERT(AdmissionDecision::Send == decideAdmission(demand, away, longer, false));
    }

    // Guards against a caller that comes back after a refusal and is refused again, as its request
    // is too late to wait for its home, while there are slots enough elsewhere.
    void lateRequestTakesAFreeSlotElsewhere()
    {
        auto demand = makeDemand();
        demand.sharedTokens = 5000;
        auto away = makePlacement(Duration(0));
        away.homeRank = ServiceBalancer::kHomes;
        const CallerWait late{seconds(1), seconds(2), Duration(0)};
        CPPUNIT_ASSERT(AdmissionDecision::Send == decideAdmission(demand, away, late, false));
        // While slots are scarce they are left to those that can be in time.
        away.fullPart = 0.9;
        CPPUNIT_ASSERT(AdmissionDecision::Refuse == decideAdmission(demand, away, late, false));
    }

    // Guards against prompts in a row that make the dialogues on the same engine pause.
    void pauseSensitiveRequestsGetShortQueues()
    {
        const CallerWait wait{seconds(3), Duration(0), Duration(0)};
        auto demand = makeDemand();
        CPPUNIT_ASSERT(AdmissionDecision::Hold ==
                       decideAdmission(demand, makePlacement(milliseconds(200)), wait, false));
        demand.tolerance = PauseTolerance::Tolerant;
        CPPUNIT_ASSERT(AdmissionDecision::Send ==
                       decideAdmission(demand, makePlacement(milliseconds(200)), wait, false));
    }

    // Guards against a refused crowd that comes back at one moment, or that is told a time after
    // which it does not come back.
    void retryDelaysAreSpreadWithinCallerLimits()
    {
        std::mt19937_64 random(3);
        const Duration left = seconds(12);
        Duration first = left;
        Duration last{0};
        for (int i = 0; i < 500; ++i) {
            const Duration advice = overloadRetryDelay(left, random);
            first = std::min(first, advice);
            last = std::max(last, advice);
            CPPUNIT_ASSERT(localRefusalRetryDelay(left, random) <= seconds(1));
        }
        CPPUNIT_ASSERT(last <= left / 3);
        CPPUNIT_ASSERT(last - first >= left / 6);
        CPPUNIT_ASSERT(localRefusalRetryDelay(milliseconds(200), random) <= milliseconds(50));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

} // namespace hawthornslip
