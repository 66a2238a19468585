#include "servers/placement/placement_codec.h"
#include "servers/placement/placement_service.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/sim_engines.h"
#include "tests/support/sim_membership.h"
#include "tests/support/sim_network.h"
#include "tests/support/sim_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace hawthornslip {

namespace {

class FixedConfigSource : public ConfigSource
{
public:
    std::shared_ptr<const SharedConfig> current() const override { return config; }

    std::shared_ptr<SharedConfig> config = std::make_shared<SharedConfig>();
};

struct PlacementNode
{
    PlacementNode(test::SimEvents &events, test::SimNetwork &network, test::SimStore &store,
                  test::SimEngines &engines, const ConfigSource &config, NodeId id)
        : self(std::move(id))
        , transport(network, self)
        , loop(events.clock())
        , bus(loop, transport, metrics, self, 1)
        , client(store, std::make_shared<bool>(true))
        , upstreams(events, engines, std::make_shared<bool>(true))
        , service(loop, bus, membership, client, upstreams, config, metrics,
                  [this] { return demand; })
    {}

    NodeId self;
    test::SimTransport transport;
    test::CountingMetrics metrics;
    ControlLoop loop;
    PeerBus bus;
    test::SimMembership membership;
    test::SimStoreClient client;
    test::SimUpstreamClient upstreams;
    std::map<GroupId, double> demand;
    PlacementService service;
    bool paused = false;
};

} // namespace

class PlacementServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementServiceTest);
    CPPUNIT_TEST(demandOfAllNodesLoadsModels);
    CPPUNIT_TEST(applicationRouteIsNeverLoaded);
    CPPUNIT_TEST(pausedHolderIsReplaced);
    CPPUNIT_TEST(outageSendsNoOrders);
    CPPUNIT_TEST(missedUpdateIsPulled);
    CPPUNIT_TEST(codecPreservesState);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_events = std::make_unique<test::SimEvents>();
        m_network = std::make_unique<test::SimNetwork>(*m_events, 1);
        m_store = std::make_unique<test::SimStore>(*m_events);
        m_engines = std::make_unique<test::SimEngines>(*m_events);
        m_config = std::make_unique<FixedConfigSource>();
        m_nodes.clear();
        std::vector<LiveNode> live;
        for (int i = 0; i < 3; ++i) {
            Upstream upstream;
            upstream.id = UpstreamId("u" + std::to_string(i));
            upstream.url = url(i);
            upstream.domain = m_domain;
            upstream.models = {m_a};
            if (i == 0)
                upstream.models.push_back(m_b);
            upstream.maxConcurrency = 10;
            upstream.checksFencing = i != 1;
            m_engines->at(url(i)).checksFencing = i != 1;
            m_config->config->upstreams.push_back(upstream);
        }
        for (int i = 0; i < 3; ++i) {
            m_nodes.push_back(std::make_unique<PlacementNode>(*m_events, *m_network, *m_store,
                                                              *m_engines, *m_config,
                                                              NodeId("n" + std::to_string(i))));
            live.push_back({m_nodes.back()->self, 1, m_domain, false});
        }
        for (const auto &it : m_nodes)
            it->membership.set(live);
    }

    void tearDown() override
    {
        m_nodes.clear();
        m_events.reset();
    }

    // Guards against placement that counts the demand of one node only, and against models that are
    // loaded but not announced to all nodes.
    void demandOfAllNodesLoadsModels()
    {
        for (const auto &it : m_nodes)
            it->demand[{m_b, m_domain}] = 4;
        run(seconds(60));
        CPPUNIT_ASSERT_EQUAL(1, holders());
        for (const auto &it : m_nodes) {
            int replicas = 0;
            for (int i = 0; i < 3; ++i) {
                const auto *models = it->service.modelsOf(UpstreamId("u" + std::to_string(i)));
                CPPUNIT_ASSERT(models != nullptr);
                replicas += int(std::count(models->begin(), models->end(), m_b));
            }
            CPPUNIT_ASSERT_EQUAL(2, replicas);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders());
    }

    // Guards against application calls that reach an engine because placement treats the route as a
    // model with demand.
    void applicationRouteIsNeverLoaded()
    {
        for (const auto &it : m_nodes)
            it->demand[{ModelName("app:pickups"), m_domain}] = 20;
        run(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, orders());
    }

    // Guards against a former holder that sends orders after a pause, and against a new holder
    // that does not wait until earlier orders have timed out.
    void pausedHolderIsReplaced()
    {
        run(seconds(10));
        const int first = holder();
        m_nodes[std::size_t(first)]->paused = true;
        m_nodes[std::size_t(first)]->upstreams.setPaused(true);
        for (const auto &it : m_nodes)
            it->demand[{m_b, m_domain}] = 4;
        run(seconds(60));
        const int second = holder();
        CPPUNIT_ASSERT(second != first);
        m_nodes[std::size_t(first)]->paused = false;
        m_nodes[std::size_t(first)]->upstreams.setPaused(false);
        run(seconds(30));
        CPPUNIT_ASSERT_EQUAL(1, holders());
        CPPUNIT_ASSERT(orders() >= 1);
        for (const auto &[address, engine] : m_engines->all()) {
            for (const auto &it : engine.orders)
                CPPUNIT_ASSERT(it.accepted && it.fencing >= 2);
        }
    }

    // Guards against orders during an outage of the store, when no node can renew the lease.
    void outageSendsNoOrders()
    {
        run(seconds(10));
        m_store->faults.down = true;
        run(milliseconds(3500));
        for (const auto &it : m_nodes)
            it->demand[{m_b, m_domain}] = 4;
        run(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, orders());
        CPPUNIT_ASSERT_EQUAL(0, holders());
        m_store->faults.down = false;
        run(seconds(60));
        CPPUNIT_ASSERT_EQUAL(1, holders());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders());
    }

    // Guards against a node that keeps an outdated placement after a lost message.
    void missedUpdateIsPulled()
    {
        m_network->faults = {0.5, 0.2, 0.3, milliseconds(800)};
        for (const auto &it : m_nodes)
            it->demand[{m_b, m_domain}] = 4;
        run(seconds(200));
        const auto *expected = m_nodes[std::size_t(holder())]->service.modelsOf(UpstreamId("u1"));
        for (const auto &it : m_nodes) {
            const auto *models = it->service.modelsOf(UpstreamId("u1"));
            CPPUNIT_ASSERT(models != nullptr && *models == *expected);
        }
    }

    // Guards against a field that is lost in encoding or decoding, and against accepting invalid
    // text.
    void codecPreservesState()
    {
        PlacementState state;
        state.generation = 3;
        state.fencing = 4;
        state.desired[UpstreamId("u")].models[m_a] = {"v", {"x", "y"}};
        state.applied[UpstreamId("u")].role = "decode";
        CPPUNIT_ASSERT(decodePlacement(encodePlacement(state)) == state);
        for (const auto *it : {"", "[]", R"({"generation":"1"})"})
            CPPUNIT_ASSERT(!decodePlacement(it));
    }

private:
    static std::string url(int n) { return "http://engine" + std::to_string(n); }

    void run(Duration span)
    {
        const auto end = m_events->now() + span;
        while (m_events->now() < end) {
            bool busy = true;
            while (busy) {
                busy = m_events->runOne();
                for (const auto &it : m_nodes)
                    busy = (!it->paused && it->loop.runDue() > 0) || busy;
            }
            auto next = std::min(end, m_events->next().value_or(end));
            for (const auto &it : m_nodes) {
                if (!it->paused)
                    next = std::min(next, it->loop.nextTimer().value_or(end));
            }
            m_events->moveTo(next);
        }
    }

    int holders() const
    {
        int n = 0;
        for (const auto &it : m_nodes)
            n += it->service.leaseOf(m_domain) ? 1 : 0;
        return n;
    }

    int holder() const
    {
        for (int i = 0; i < 3; ++i) {
            if (m_nodes[std::size_t(i)]->service.leaseOf(m_domain))
                return i;
        }
        CPPUNIT_FAIL("no node holds the lease");
        return -1;
    }

    std::size_t orders() const
    {
        std::size_t n = 0;
        for (const auto &[address, engine] : m_engines->all())
            n += engine.orders.size();
        return n;
    }

    const FailureDomain m_domain{"d"};
    const ModelName m_a{"a"};
    const ModelName m_b{"b"};
    std::unique_ptr<test::SimEvents> m_events;
    std::unique_ptr<test::SimNetwork> m_network;
    std::unique_ptr<test::SimStore> m_store;
    std::unique_ptr<test::SimEngines> m_engines;
    std::unique_ptr<FixedConfigSource> m_config;
    std::vector<std::unique_ptr<PlacementNode>> m_nodes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementServiceTest);

} // namespace hawthornslip
