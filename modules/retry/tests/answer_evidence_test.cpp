#include "modules/retry/answer_evidence.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr int kPromises[] = {408, 421, 429, 503};

ResponseMeta makeMeta(bool hasStamp, bool isNotRun)
{
    ResponseMeta meta;
    meta.hasResponseStamp = hasStamp;
    meta.certainlyNotRun = isNotRun;
    return meta;
}

} // namespace

class AnswerEvidenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerEvidenceTest);
    CPPUNIT_TEST(promiseNeedsItsStatement);
    CPPUNIT_TEST(statementIsBelievedWithAnyFailure);
    CPPUNIT_TEST(successNeedsAStamp);
    CPPUNIT_TEST(otherFailuresHaveRun);
    CPPUNIT_TEST(anyAnswerMaySayThatItsUpstreamLeaves);
    CPPUNIT_TEST(streamMissesItsLastEvent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a caller that sends a request again as a status says that it has not run.
    void promiseNeedsItsStatement()
    {
        for (const int status : kPromises) {
            for (const bool hasStamp : {false, true}) {
                const AnswerEvidence evidence(status, makeMeta(hasStamp, false));
                CPPUNIT_ASSERT(!evidence.isNotRun());
                CPPUNIT_ASSERT(!evidence.isProven());
                CPPUNIT_ASSERT(evidence.isFailure());
                CPPUNIT_ASSERT(evidence.stateWhenComplete() == AttemptState::Lost);
            }
        }
    }

    // Guards against a request that is given up although another upstream could run it.
    void statementIsBelievedWithAnyFailure()
    {
        for (const int status : {400, 408, 421, 429, 500, 503}) {
            const AnswerEvidence evidence(status, makeMeta(false, true));
            CPPUNIT_ASSERT(evidence.isNotRun());
            CPPUNIT_ASSERT(evidence.isProven());
            CPPUNIT_ASSERT(!evidence.isFailure());
            CPPUNIT_ASSERT(evidence.stateWhenComplete() == AttemptState::Refused);
        }
    }

    // Guards against bytes of a faulty upstream that are taken for an answer.
    void successNeedsAStamp()
    {
        const AnswerEvidence proven(200, makeMeta(true, false));
        CPPUNIT_ASSERT(proven.isProven());
        CPPUNIT_ASSERT(!proven.isFailure());
        CPPUNIT_ASSERT(proven.stateWhenComplete() == AttemptState::Finished);
        const AnswerEvidence unproven(200, makeMeta(false, false));
        CPPUNIT_ASSERT(!unproven.isProven());
        CPPUNIT_ASSERT(unproven.stateWhenComplete() == AttemptState::Lost);
    }

    // Guards against a failure that is kept from its caller.
    void otherFailuresHaveRun()
    {
        for (const int status : {404, 409, 500, 502, 504}) {
            const AnswerEvidence evidence(status, makeMeta(true, false));
            CPPUNIT_ASSERT(evidence.isProven());
            CPPUNIT_ASSERT_EQUAL(status >= 500, evidence.isFailure());
            CPPUNIT_ASSERT(evidence.stateWhenComplete() == AttemptState::Finished);
        }
    }

    // Guards against an upstream that leaves and is heard only when it serves a request.
    void anyAnswerMaySayThatItsUpstreamLeaves()
    {
        for (const bool isNotRun : {false, true}) {
            auto meta = makeMeta(!isNotRun, isNotRun);
            CPPUNIT_ASSERT(!AnswerEvidence(503, meta).isLeaving());
            meta.isLeaving = true;
            for (const int status : {200, 404, 421, 500, 503})
                CPPUNIT_ASSERT(AnswerEvidence(status, meta).isLeaving());
        }
        CPPUNIT_ASSERT(!AnswerEvidence().isLeaving());
    }

    // Guards against a stream that ends as complete although its upstream broke it off.
    void streamMissesItsLastEvent()
    {
        using Evidence = AnswerEvidence;
        CPPUNIT_ASSERT(Evidence::findMissingPart({true, 3, false, false}).empty());
        CPPUNIT_ASSERT(Evidence::findMissingPart({true, 3, false, true}).empty());
        CPPUNIT_ASSERT(Evidence::findMissingPart({false, 0, false, true}).empty());
        CPPUNIT_ASSERT(!Evidence::findMissingPart({true, 0, false, true}).empty());
        CPPUNIT_ASSERT(!Evidence::findMissingPart({true, 3, true, false}).empty());
        CPPUNIT_ASSERT(!Evidence::findMissingPart({true, 3, true, true}).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerEvidenceTest);

} // namespace hawthornslip
