#include "modules/lifecycle/node_lifecycle.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace hawthornslip {

namespace {

using namespace lifecycle; // NOLINT(google-build-using-namespace)

constexpr auto kBalancerNotice = seconds(5);

template <typename Action>
bool contains(const Actions &actions)
{
    return std::any_of(actions.begin(), actions.end(),
                       [](const auto &it) { return std::holds_alternative<Action>(it); });
}

NodeId node(int i)
{
    return NodeId("10.0.0." + std::to_string(i) + ":7400");
}

std::vector<NodeId> nodes(int n)
{
    std::vector<NodeId> list;
    for (int i = 1; i <= n; ++i)
        list.push_back(node(i));
    return list;
}

} // namespace

class NodeLifecycleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NodeLifecycleTest);
    CPPUNIT_TEST(readyAfterStoreWasRead);
    CPPUNIT_TEST(notReadyWithRefusedDocument);
    CPPUNIT_TEST(outageNeedsMajorityAndHighestGeneration);
    CPPUNIT_TEST(outageCountsOnlyConfiguredCandidates);
    CPPUNIT_TEST(outageNeedsCandidates);
    CPPUNIT_TEST(stopWaitsForActiveRequests);
    CPPUNIT_TEST(stopBeforeReadySkipsBalancerNotice);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a node that accepts requests before it has a configuration.
    void readyAfterStoreWasRead()
    {
        dispatch(GenerationAdopted{3});
        CPPUNIT_ASSERT(m_lifecycle.phase() == NodePhase::Starting);
        CPPUNIT_ASSERT(contains<PhaseChanged>(dispatch(StoreRead{true})));
        CPPUNIT_ASSERT(m_lifecycle.phase() == NodePhase::Ready);
        CPPUNIT_ASSERT(m_lifecycle.takesRequests());
    }

    void notReadyWithRefusedDocument()
    {
        dispatch(StoreRead{true});
        CPPUNIT_ASSERT(m_lifecycle.phase() == NodePhase::Starting);
        dispatch(GenerationAdopted{1});
        CPPUNIT_ASSERT(m_lifecycle.phase() == NodePhase::Ready);
    }

    // Guards against starting with an outdated configuration during a store outage.
    void outageNeedsMajorityAndHighestGeneration()
    {
        dispatch(CandidatesListed{nodes(8)});
        dispatch(GenerationAdopted{4});
        for (int i = 1; i <= 3; ++i)
            dispatch(GenerationReported{node(i), 4});
        CPPUNIT_ASSERT(m_lifecycle.phase() == NodePhase::Starting);
        dispatch(GenerationReported{node(4), 5});
        CPPUNIT_ASSERT(m_lifecycle.phase() == NodePhase::Starting);
        dispatch(GenerationAdopted{5});
        CPPUNIT_ASSERT(m_lifecycle.phase() == NodePhase::Ready);
    }

    // Guards against counting unconfigured nodes or nodes that are not candidates as a majority.
    void outageCountsOnlyConfiguredCandidates()
    {
        dispatch(CandidatesListed{nodes(4)});
        dispatch(GenerationAdopted{4});
        dispatch(GenerationReported{node(1), 4});
        dispatch(GenerationReported{node(2), 0});
        dispatch(GenerationReported{node(9), 4});
        CPPUNIT_ASSERT(m_lifecycle.phase() == NodePhase::Starting);
        dispatch(GenerationReported{node(2), 4});
        CPPUNIT_ASSERT(m_lifecycle.phase() == NodePhase::Ready);
    }

    void outageNeedsCandidates()
    {
        dispatch(GenerationAdopted{4});
        dispatch(GenerationReported{node(1), 4});
        CPPUNIT_ASSERT(m_lifecycle.phase() == NodePhase::Starting);
    }

    // Guards against a graceful shutdown that aborts a request (invariant I7).
    void stopWaitsForActiveRequests()
    {
        dispatch(StoreRead{false});
        const auto actions = dispatch(StopRequested{});
        CPPUNIT_ASSERT(contains<AnnounceLeaving>(actions));
        CPPUNIT_ASSERT(m_lifecycle.phase() == NodePhase::Draining);
        CPPUNIT_ASSERT(dispatch(StopRequested{}).empty());
        m_now += kBalancerNotice - milliseconds(1);
        CPPUNIT_ASSERT(dispatch(Tick{0}).empty());
        CPPUNIT_ASSERT(m_lifecycle.takesRequests());
        m_now += milliseconds(1);
        CPPUNIT_ASSERT(contains<RefuseNewRequests>(dispatch(Tick{0})));
        CPPUNIT_ASSERT(!m_lifecycle.takesRequests());
        m_now += seconds(3600);
        CPPUNIT_ASSERT(dispatch(Tick{1}).empty());
        CPPUNIT_ASSERT(contains<AnnounceStopped>(dispatch(Tick{0})));
        CPPUNIT_ASSERT(m_lifecycle.phase() == NodePhase::Stopped);
    }

    void stopBeforeReadySkipsBalancerNotice()
    {
        dispatch(StopRequested{});
        CPPUNIT_ASSERT(contains<AnnounceStopped>(dispatch(Tick{0})));
        CPPUNIT_ASSERT(dispatch(StoreRead{false}).empty());
        CPPUNIT_ASSERT(m_lifecycle.phase() == NodePhase::Stopped);
    }

private:
    Actions dispatch(const Event &event) { return m_lifecycle.handle(event, m_now); }

    NodeLifecycle m_lifecycle{kBalancerNotice};
    TimePoint m_now{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeLifecycleTest);

} // namespace hawthornslip
