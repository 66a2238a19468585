#include "modules/placement/order_dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

class OrderDispatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderDispatcherTest);
    CPPUNIT_TEST(noOrderWithoutLease);
    CPPUNIT_TEST(firstOrderWaitsForEarlierOnes);
    CPPUNIT_TEST(concurrentLoadsAreLimited);
    CPPUNIT_TEST(unloadWaitsForSchedulersToDrain);
    CPPUNIT_TEST(failedOrderIsRetried);
    CPPUNIT_TEST(staleFencingTokenStopsOrders);
    CPPUNIT_TEST(allOrderKindsAreSent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_state.generation = 4;
        m_dispatcher.setFencingUpstreams({UpstreamId("u0"), UpstreamId("u1"), UpstreamId("u2")});
    }

    // Guards against a lease holder that was paused and still sends orders after its lease expired.
    void noOrderWithoutLease()
    {
        setDesired("u0", "a");
        CPPUNIT_ASSERT(m_dispatcher.startOrders({}, m_now).empty());
        const auto lease = heldLease();
        m_now = lease.usableUntil;
        CPPUNIT_ASSERT(m_dispatcher.startOrders(lease, m_now).empty());
    }

    // Guards against a late order of the earlier lease holder that reverts a new one, at an
    // upstream that does not check fencing tokens.
    void firstOrderWaitsForEarlierOnes()
    {
        m_dispatcher.setFencingUpstreams({UpstreamId("u0")});
        setDesired("u0", "a");
        setDesired("u1", "a");
        const auto lease = heldLease();
        auto orders = m_dispatcher.startOrders(lease, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, orders[0].fencing);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, orders[0].generation);
        m_now += seconds(2);
        orders = m_dispatcher.startOrders(lease, m_now);
        CPPUNIT_ASSERT(orders.at(0).upstream == UpstreamId("u1"));
    }

    // Guards against exceeding the rate limit of the store of the model weights.
    void concurrentLoadsAreLimited()
    {
        for (const auto *it : {"u0", "u1", "u2"})
            setDesired(it, "a");
        const auto orders = m_dispatcher.startOrders(heldLease(), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, orders.size());
        CPPUNIT_ASSERT(m_dispatcher.startOrders(heldLease(), m_now).empty());
        CPPUNIT_ASSERT(m_dispatcher.recordResult(orders[0].id, OrderResult::Done, m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher.startOrders(heldLease(), m_now).size());
    }

    // Guards against unloading a model while schedulers still send requests for it.
    void unloadWaitsForSchedulersToDrain()
    {
        m_state.applied[UpstreamId("u0")].models[ModelName("a")];
        m_state.desired[UpstreamId("u0")];
        m_dispatcher.setState(m_state, m_now);
        CPPUNIT_ASSERT(m_dispatcher.startOrders(heldLease(), m_now).empty());
        m_now += seconds(5);
        const auto orders = m_dispatcher.startOrders(heldLease(), m_now);
        CPPUNIT_ASSERT(orders.at(0).kind == OrderKind::UnloadModel);
        m_dispatcher.recordResult(orders[0].id, OrderResult::Done, m_now);
        CPPUNIT_ASSERT(m_dispatcher.startOrders(heldLease(), m_now).empty());
    }

    // Guards against a failed order that is never retried, and against retries without a backoff.
    void failedOrderIsRetried()
    {
        setDesired("u0", "a");
        const auto order = m_dispatcher.startOrders(heldLease(), m_now).at(0);
        CPPUNIT_ASSERT(!m_dispatcher.recordResult(order.id, OrderResult::Failed, m_now));
        CPPUNIT_ASSERT(m_dispatcher.startOrders(heldLease(), m_now).empty());
        m_now += seconds(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher.startOrders(heldLease(), m_now).size());
    }

    // Guards against a former lease holder that keeps sending orders.
    void staleFencingTokenStopsOrders()
    {
        setDesired("u0", "a");
        const auto order = m_dispatcher.startOrders(heldLease(), m_now).at(0);
        m_dispatcher.recordResult(order.id, OrderResult::StaleFencing, m_now);
        m_now += seconds(60);
        CPPUNIT_ASSERT(m_dispatcher.fencedOut());
        CPPUNIT_ASSERT(m_dispatcher.startOrders(heldLease(), m_now).empty());
    }

    // Guards against adapters, versions and roles that are desired but never sent to the upstream.
    void allOrderKindsAreSent()
    {
        auto &target = m_state.desired[UpstreamId("u0")];
        target.role = "prefill";
        target.models[ModelName("a")] = {"v2", {"x"}};
        m_state.applied[UpstreamId("u0")].models[ModelName("a")] = {"v1", {}};
        m_dispatcher.setState(m_state, m_now);
        for (const auto kind :
             {OrderKind::SetVersion, OrderKind::LoadAdapter, OrderKind::SetRole}) {
            const auto order = m_dispatcher.startOrders(heldLease(), m_now).at(0);
            CPPUNIT_ASSERT(order.kind == kind);
            m_dispatcher.recordResult(order.id, OrderResult::Done, m_now);
        }
        CPPUNIT_ASSERT(m_dispatcher.applied().at(UpstreamId("u0")) == target);
    }

private:
    void setDesired(const std::string &upstream, const std::string &model)
    {
        m_state.desired[UpstreamId(upstream)].models[ModelName(model)];
        m_dispatcher.setState(m_state, m_now);
    }

    HeldLease heldLease() const { return {7, m_now, m_now + seconds(9)}; }

    OrderDispatcher m_dispatcher;
    PlacementState m_state;
    TimePoint m_now{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderDispatcherTest);

} // namespace hawthornslip
