#include "modules/placement/placement_planner.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

class PlacementPlannerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementPlannerTest);
    CPPUNIT_TEST(minimumIsRestoredAtOnce);
    CPPUNIT_TEST(concurrentLoadsAreLimited);
    CPPUNIT_TEST(burstChangesNothing);
    CPPUNIT_TEST(sustainedDemandGetsReplica);
    CPPUNIT_TEST(spareReplicasAreUnloadedToMakeRoom);
    CPPUNIT_TEST(leavingUpstreamGetsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a model that no upstream serves.
    void minimumIsRestoredAtOnce()
    {
        const auto changes = m_planner.plan(m_state, makeCandidates(2), {}, {m_a}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT(changes[0].load && changes[0].model == m_a);
    }

    // Guards against exceeding the rate limit of the store of the model weights.
    void concurrentLoadsAreLimited()
    {
        const std::vector<ModelName> models{ModelName("1"), ModelName("2"), ModelName("3"),
                                            ModelName("4")};
        auto changes = m_planner.plan(m_state, makeCandidates(4), {}, models, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
        applyToDesired(changes);
        CPPUNIT_ASSERT(m_planner.plan(m_state, makeCandidates(4), {}, models, m_now).empty());
        m_state.applied = m_state.desired;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             m_planner.plan(m_state, makeCandidates(4), {}, models, m_now).size());
    }

    // Guards against loading and unloading models with each burst.
    void burstChangesNothing()
    {
        setServed({{"u0", m_a}});
        for (int i = 0; i < 60; ++i) {
            const double load = i % 2 == 0 ? 500 : 1;
            CPPUNIT_ASSERT(m_planner.plan(m_state, makeCandidates(3), {{m_a, load}}, {m_a}, m_now)
                                   .empty());
            m_now += seconds(5);
        }
    }

    // Guards against a model that gets no further replica although the demand lasts.
    void sustainedDemandGetsReplica()
    {
        setServed({{"u0", m_a}});
        std::vector<PlacementChange> changes;
        const auto start = m_now;
        while (changes.empty() && m_now < start + seconds(100)) {
            changes = m_planner.plan(m_state, makeCandidates(3), {{m_a, 20}}, {m_a}, m_now);
            m_now += seconds(1);
        }
        CPPUNIT_ASSERT(m_now - start >= seconds(20) && m_now - start <= seconds(22));
        CPPUNIT_ASSERT(changes.at(0).load && changes.at(0).upstream != UpstreamId("u0"));
    }

    // Guards against a model that finds no room while others have spare replicas, and against
    // unloading a replica that is needed.
    void spareReplicasAreUnloadedToMakeRoom()
    {
        setServed({{"u0", m_a}, {"u0", m_b}, {"u1", m_a}, {"u1", m_b}});
        const std::vector<ModelName> models{m_a, m_b, ModelName("new")};
        std::vector<PlacementChange> changes;
        const auto start = m_now;
        while (changes.empty() && m_now < start + seconds(400)) {
            changes = m_planner.plan(m_state, makeCandidates(2), {{m_a, 20}, {m_b, 1}}, models,
                                     m_now);
            m_now += seconds(5);
        }
        CPPUNIT_ASSERT(m_now - start >= seconds(300));
        CPPUNIT_ASSERT(changes.at(0).model == m_b && !changes.at(0).load);
        applyToDesired(changes);
        CPPUNIT_ASSERT(
                m_planner.plan(m_state, makeCandidates(2), {{m_a, 20}, {m_b, 1}}, models, m_now)
                        .empty());
        m_state.applied = m_state.desired;
        changes = m_planner.plan(m_state, makeCandidates(2), {{m_a, 20}, {m_b, 1}}, models, m_now);
        CPPUNIT_ASSERT(changes.at(0).load && changes.at(0).model == ModelName("new"));
    }

    // Guards against loading models on an upstream that is about to leave.
    void leavingUpstreamGetsNothing()
    {
        auto candidates = makeCandidates(1);
        candidates[0].acceptsModels = false;
        CPPUNIT_ASSERT(m_planner.plan(m_state, candidates, {{m_a, 5}}, {m_a}, m_now).empty());
    }

private:
    static std::vector<PlacementCandidate> makeCandidates(int n)
    {
        std::vector<PlacementCandidate> candidates;
        for (int i = 0; i < n; ++i)
            candidates.push_back({UpstreamId("u" + std::to_string(i)), true, 20});
        return candidates;
    }

    void applyToDesired(const std::vector<PlacementChange> &changes)
    {
        for (const auto &it : changes) {
            auto &models = m_state.desired[it.upstream].models;
            if (it.load)
                models[it.model];
            else
                models.erase(it.model);
        }
    }

    void setServed(const std::vector<std::pair<std::string, ModelName>> &places)
    {
        for (const auto &[id, model] : places)
            m_state.desired[UpstreamId(id)].models[model];
        m_state.applied = m_state.desired;
    }

    const ModelName m_a{"a"};
    const ModelName m_b{"b"};
    PlacementPlanner m_planner;
    PlacementState m_state;
    TimePoint m_now{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementPlannerTest);

} // namespace hawthornslip
