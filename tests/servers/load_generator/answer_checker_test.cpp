#include "servers/load_generator/answer_checker.h"
#include "servers/load_generator/load_report.h"
#include "servers/load_generator/token_text.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace hawthornslip {

namespace {

const std::string kId = "00112233445566778899aabbccddeeff";
const std::string kOther = "ffeeddccbbaa99887766554433221100";

std::string event(const std::string &id, std::uint32_t index)
{
    return fmt::format(
            "data: {{\"id\":\"{}\",\"choices\":[{{\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n", id,
            tokenText(id, index));
}

/** @return a checker that expects three tokens and has received the given events. */
AnswerChecker check(const std::string &events, bool done = true, bool complete = true)
{
    AnswerChecker checker(true, "", 3);
    checker.begin(200);
    // Byte by byte, to test events that are split over several pieces.
    for (const char &it : events + (done ? "data: [DONE]\n\n" : ""))
        checker.add({&it, 1});
    checker.finish(complete);
    return checker;
}

} // namespace

/** Guards against damaged answers that the load generator counts as succeeded. */
class AnswerCheckerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerCheckerTest);
    CPPUNIT_TEST(completeAnswerSucceeds);
    CPPUNIT_TEST(missingRepeatedAndCrossedTokensAreDetected);
    CPPUNIT_TEST(truncatedAnswerIsIncomplete);
    CPPUNIT_TEST(errorsCarryReasonAndExecution);
    CPPUNIT_TEST(applicationAnswerMustReturnTheMarker);
    CPPUNIT_TEST(planIsDeterministicAndFollowsTheRate);
    CPPUNIT_TEST(oneAnswerToTwoCallersIsCrossed);
    CPPUNIT_TEST_SUITE_END();

public:
    void completeAnswerSucceeds()
    {
        const auto checker = check(event(kId, 0) + event(kId, 1) + event(kId, 2));
        CPPUNIT_ASSERT(checker.succeeded());
        CPPUNIT_ASSERT_EQUAL(3U, checker.tokens());
        CPPUNIT_ASSERT_EQUAL(kId, checker.requestId());
    }

    void missingRepeatedAndCrossedTokensAreDetected()
    {
        CPPUNIT_ASSERT(check(event(kId, 0) + event(kId, 2)).faults().missing);
        CPPUNIT_ASSERT(check(event(kId, 0) + event(kId, 0) + event(kId, 1)).faults().repeated);
        CPPUNIT_ASSERT(check(event(kId, 0) + event(kOther, 1) + event(kId, 2)).faults().crossed);
    }

    void truncatedAnswerIsIncomplete()
    {
        const std::string allTokens = event(kId, 0) + event(kId, 1) + event(kId, 2);
        CPPUNIT_ASSERT(check(allTokens, false).faults().incomplete);
        CPPUNIT_ASSERT(check(allTokens, true, false).faults().incomplete);
        CPPUNIT_ASSERT(check(event(kId, 0) + event(kId, 1)).faults().incomplete);
    }

    void errorsCarryReasonAndExecution()
    {
        const std::string error = R"({"error":{"code":"queue_full","execution":"not_run"}})";
        AnswerChecker refused(true, "", 3);
        refused.begin(503);
        refused.add(error);
        refused.finish(true);
        CPPUNIT_ASSERT_EQUAL(std::string("queue_full"), refused.errorCode());
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), refused.errorExecution());
        const auto late = check(event(kId, 0) + "data: " + error + "\n\n", false);
        CPPUNIT_ASSERT_EQUAL(std::string("queue_full"), late.errorCode());
        CPPUNIT_ASSERT(!late.succeeded());
    }

    void applicationAnswerMustReturnTheMarker()
    {
        for (const bool own : {true, false}) {
            AnswerChecker checker(false, "mine", 0);
            checker.begin(200);
            checker.add(own ? R"({"id":"i","user":"mine"})" : R"({"id":"i","user":"yours"})");
            checker.finish(true);
            CPPUNIT_ASSERT_EQUAL(own, checker.succeeded());
            CPPUNIT_ASSERT_EQUAL(!own, checker.faults().crossed);
        }
    }

    void planIsDeterministicAndFollowsTheRate()
    {
        auto spec = makeSpec();
        const auto plan = makeLoadPlan(spec);
        const auto again = makeLoadPlan(spec);
        CPPUNIT_ASSERT_EQUAL(plan.size(), again.size());
        CPPUNIT_ASSERT(plan.front().at == again.front().at);
        CPPUNIT_ASSERT_EQUAL(plan.back().tokens, again.back().tokens);
        // 100/s for 10 s, doubled for 5 s: mean 1500, standard deviation about 39.
        CPPUNIT_ASSERT(plan.size() > 1300 && plan.size() < 1700);
        spec.seed = 8;
        CPPUNIT_ASSERT(makeLoadPlan(spec).front().at != plan.front().at);
    }

    void oneAnswerToTwoCallersIsCrossed()
    {
        const auto spec = makeSpec();
        const auto plan = makeLoadPlan(spec);
        std::vector<LoadOutcome> outcomes(plan.size());
        for (std::size_t i = 0; i < outcomes.size(); ++i) {
            outcomes[i].result = LoadResult::Answered;
            outcomes[i].requestId = std::to_string(i);
        }
        CPPUNIT_ASSERT_EQUAL(0U, makeLoadReport(spec, plan, outcomes).crossedAnswers);
        outcomes[1].requestId = outcomes[0].requestId;
        CPPUNIT_ASSERT_EQUAL(1U, makeLoadReport(spec, plan, outcomes).crossedAnswers);
    }

private:
    static LoadSpec makeSpec()
    {
        LoadSpec spec;
        spec.nodes = {"http://127.0.0.1:1"};
        spec.classes.emplace_back();
        spec.classes[0].profile = "p";
        spec.classes[0].model = "m";
        spec.classes[0].requestsPerSecond = 100;
        spec.workspaces = {{"w", "k", 1}};
        spec.periods = {{seconds(5), seconds(10), 2, ""}};
        spec.seed = 7;
        return spec;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerCheckerTest);

} // namespace hawthornslip
