#include "modules/queueing/admission.h"
#include "modules/queueing/retry_delay.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr CallerWait kFresh{seconds(1), Duration(0), Duration(0)};

RequestPlacement makePlacement(Duration wait)
{
    RequestPlacement placement;
    placement.wait = wait;
    placement.prefillTime = milliseconds(50);
    return placement;
}

RequestDemand makeDemand()
{
    RequestDemand demand;
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
    CPPUNIT_TEST(urgentRequestThatCameBackIsNotRefusedWhileLessUrgentOnesBegin);
    CPPUNIT_TEST(streamThatIsTakenUpIsNotRefusedOnAnEstimate);
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

    // Guards against a queue inside the engine, where a request can no longer be refused.
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

    // Guards against callers that wait for an answer that comes too late, instead of retrying.
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

    // Guards against a caller that is refused at each try, since the first one took its objective.
    void urgentRequestThatCameBackIsNotRefusedWhileLessUrgentOnesBegin()
    {
        const CallerWait late{seconds(1), seconds(2), Duration(0)};
        auto full = makePlacement(seconds(2));
        full.isFull = true;
        CPPUNIT_ASSERT(AdmissionDecision::Send == decideAdmission(makeDemand(), full, late, true));
        CPPUNIT_ASSERT(AdmissionDecision::Refuse ==
                       decideAdmission(makeDemand(), full, late, false));
    }

    // Guards against wasting the part of an answer that the caller has.
    void streamThatIsTakenUpIsNotRefusedOnAnEstimate()
    {
        const CallerWait wait{seconds(1), Duration(0), milliseconds(510), true};
        auto busy = makePlacement(milliseconds(600));
        CPPUNIT_ASSERT(AdmissionDecision::Send == decideAdmission(makeDemand(), busy, wait, false));
        busy.isFull = true;
        CPPUNIT_ASSERT(AdmissionDecision::Refuse ==
                       decideAdmission(makeDemand(), busy, wait, false));
    }

    // Guards against repeating the prefill of a shared prompt at an engine that happens to be
    // idle.
    void largeSharedPromptWaitsForPreferredUpstream()
    {
        auto demand = makeDemand();
        demand.sharedTokens = 5000;
        auto elsewhere = makePlacement(Duration(0));
        elsewhere.preferenceRank = ServiceBalancer::kPreferredCount;
        CPPUNIT_ASSERT(AdmissionDecision::Hold ==
                       decideAdmission(demand, elsewhere, kFresh, false));
        const CallerWait held{seconds(1), Duration(0), milliseconds(260)};
        CPPUNIT_ASSERT(AdmissionDecision::Send == decideAdmission(demand, elsewhere, held, false));
    }

    // Guards against engines that, under overload, evict cached prompts for those of other
    // requests.
    void waitsLongerForPreferredUpstreamWhileSlotsAreScarce()
    {
        auto demand = makeDemand();
        demand.sharedTokens = 5000;
        auto away = makePlacement(Duration(0));
        away.fullFraction = 0.9;
        away.preferenceRank = ServiceBalancer::kPreferredCount;
        const CallerWait held{seconds(1), Duration(0), milliseconds(260)};
        CPPUNIT_ASSERT(AdmissionDecision::Hold == decideAdmission(demand, away, held, false));
        away.preferenceRank = 0;
        CPPUNIT_ASSERT(AdmissionDecision::Send == decideAdmission(demand, away, kFresh, false));
        // It is still sent before it would be refused.
        away.preferenceRank = ServiceBalancer::kPreferredCount;
        const CallerWait longer{seconds(1), Duration(0), milliseconds(450)};
        CPPUNIT_ASSERT(AdmissionDecision::Send == decideAdmission(demand, away, longer, false));
    }

    // Guards against refusing a retry because it is too late to be held for a preferred upstream,
    // while other upstreams have enough free slots.
    void lateRequestTakesAFreeSlotElsewhere()
    {
        auto demand = makeDemand();
        demand.sharedTokens = 5000;
        auto away = makePlacement(Duration(0));
        away.preferenceRank = ServiceBalancer::kPreferredCount;
        const CallerWait late{seconds(1), seconds(2), Duration(0)};
        CPPUNIT_ASSERT(AdmissionDecision::Send == decideAdmission(demand, away, late, false));
        // While slots are scarce, they are left to requests that can still meet their objective.
        away.fullFraction = 0.9;
        CPPUNIT_ASSERT(AdmissionDecision::Refuse == decideAdmission(demand, away, late, false));
    }

    // Guards against consecutive prefills that pause the dialogues on the same engine.
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

    // Guards against callers that were refused together and retry at the same time, or that get a
    // longer delay than they wait for.
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
