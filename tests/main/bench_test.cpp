#include "bench/offline_bound.h"
#include "bench/scenario.h"
#include "bench/verification.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>

namespace hawthornslip::bench {

namespace {

/** One language-model class and one class whose requests may run only once. */
LoadSpec makeSpec()
{
    LoadSpec spec;
    spec.nodes = {"http://127.0.0.1:1"};
    spec.classes.resize(2);
    spec.classes[0].model = "m";
    spec.classes[0].firstTokenTarget = milliseconds(100);
    spec.classes[0].tokenTarget = milliseconds(10);
    spec.classes[1].route = "r";
    spec.workspaces = {{"w", "k", 1}};
    spec.duration = seconds(1);
    return spec;
}

PlannedRequest makeRequest(std::size_t loadClass, std::uint32_t tokens, const std::string &marker)
{
    PlannedRequest request;
    request.loadClass = loadClass;
    request.tokens = tokens;
    request.marker = marker;
    return request;
}

standin::RunRecord makeRun(const std::string &id, const std::string &marker, std::uint32_t tokens)
{
    return {id, "", marker, tokens, standin::RunState::Done};
}

} // namespace

/** Guards against verification of a bench run that does not count a violation. */
class BenchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BenchTest);
    CPPUNIT_TEST(recordsShowEachViolation);
    CPPUNIT_TEST(undeliveredTokensAreWasted);
    CPPUNIT_TEST(boundIsLimitedByDemandCapacityAndDueTime);
    CPPUNIT_TEST(boundFallsWithLostCapacity);
    CPPUNIT_TEST(allScenariosCanBeRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void recordsShowEachViolation()
    {
        const auto spec = makeSpec();
        const std::vector<PlannedRequest> plan = {makeRequest(0, 5, "a"), makeRequest(1, 0, "b")};
        std::vector<LoadOutcome> outcomes(2);
        outcomes[0].result = LoadResult::Answered;
        outcomes[0].requestId = "id-a";
        outcomes[0].tokens = 5;
        outcomes[1].result = LoadResult::Refused;
        outcomes[1].execution = "may_have_run";
        const OnceOnly once{{false, true}};
        const auto count = [&](const std::vector<standin::RunRecord> &runs) {
            return verify(runs, once, plan, outcomes, makeLoadReport(spec, plan, outcomes));
        };
        const auto good = count({makeRun("id-a", "a", 5), makeRun("id-b", "b", 0)});
        CPPUNIT_ASSERT_EQUAL(0U, good.duplicateRuns + good.crossedAnswers + good.notRunButRan);
        CPPUNIT_ASSERT_EQUAL(1U, count({makeRun("1", "b", 0), makeRun("2", "b", 0)}).duplicateRuns);
        CPPUNIT_ASSERT_EQUAL(0U, count({makeRun("1", "a", 0), makeRun("2", "a", 0)}).duplicateRuns);
        CPPUNIT_ASSERT_EQUAL(1U, count({makeRun("id-a", "c", 5)}).crossedAnswers);
        outcomes[1].execution = "not_run";
        CPPUNIT_ASSERT_EQUAL(1U, count({makeRun("1", "b", 0)}).notRunButRan);
        CPPUNIT_ASSERT_EQUAL(0U, count({makeRun("1", "a", 0)}).notRunButRan);
    }

    void undeliveredTokensAreWasted()
    {
        const auto spec = makeSpec();
        const std::vector<PlannedRequest> plan = {makeRequest(0, 6, "a")};
        std::vector<LoadOutcome> outcomes(1);
        outcomes[0].result = LoadResult::Answered;
        outcomes[0].tokens = 6;
        const auto result = verify({makeRun("1", "a", 2), makeRun("1", "a", 6)}, {{false}}, plan,
                                   outcomes, makeLoadReport(spec, plan, outcomes));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, result.wastedTokenFraction, 1e-9);
    }

    void boundIsLimitedByDemandCapacityAndDueTime()
    {
        const auto spec = makeSpec();
        // 11 tokens are due 100 + 10 * 10 ms after the arrival.
        const std::vector<PlannedRequest> plan = {makeRequest(0, 11, "a"), makeRequest(0, 11, "b")};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(22, offlineGoodputBound(spec, plan, 1000, {}), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10, offlineGoodputBound(spec, plan, 50, {}), 0.2);
        // With 2 ms between tokens the answers are due after 120 ms.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6, offlineGoodputBound(spec, plan, 50, {}, milliseconds(2)),
                                     0.2);
    }

    void boundFallsWithLostCapacity()
    {
        const auto spec = makeSpec();
        const std::vector<PlannedRequest> plan = {makeRequest(0, 11, "a")};
        const std::vector<CapacityLoss> loss = {{Duration(0), milliseconds(100), 50}};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5, offlineGoodputBound(spec, plan, 50, loss), 0.2);
    }

    void allScenariosCanBeRead()
    {
        const std::string root = HAWTHORNSLIP_SOURCE_DIR;
        std::size_t n = 0;
        for (const auto &it : std::filesystem::directory_iterator(root + "/bench/scenarios")) {
            const auto scenario = readScenario(root, it.path().string());
            const auto spec = makeLoadSpec(scenario, {"http://127.0.0.1:1"}, 1);
            CPPUNIT_ASSERT(makeLoadPlan(spec).size() > 100);
            ++n;
        }
        CPPUNIT_ASSERT(n >= 22);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BenchTest);

} // namespace hawthornslip::bench
