#include "drivers/object_store/memory_object_store.h"
#include "drivers/system/system_clock.h"
#include "drivers/vm_list/http_vm_list.h"
#include "drivers/zeromq/zeromq_transport.h"
#include "servers/config/config_service.h"
#include "servers/lifecycle/lifecycle_service.h"
#include "servers/membership/membership_service.h"
#include "tests/support/counting_metrics.h"

#include <cppunit/extensions/HelperMacros.h>
#include <zmq.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>

namespace hawthornslip {

namespace {

constexpr auto kWaitLimit = std::chrono::seconds(30);
constexpr std::size_t kNodes = 4;
// The failure detector needs more than 2 s of silence.
constexpr auto kShorterThanDetection = std::chrono::seconds(2);

bool waitUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + kWaitLimit;
    std::mutex mutex;
    std::condition_variable neverNotified;
    std::unique_lock lock(mutex);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        neverNotified.wait_for(lock, std::chrono::milliseconds(10));
    }
    return true;
}

PeerSettings peerSettings(std::uint16_t port)
{
    static const auto kKeys = [] {
        std::array<std::array<char, 41>, 2> keys{};
        zmq_curve_keypair(keys[0].data(), keys[1].data());
        return keys;
    }();
    PeerSettings settings;
    settings.curvePublicKey = kKeys[0].data();
    settings.curveSecretKey = kKeys[1].data();
    settings.allowedKeys = {settings.curvePublicKey};
    settings.listen.port = port;
    return settings;
}

/** A node's access to a store that outlives it; answers after its destruction are dropped. */
class NodeStore : public ObjectStore
{
public:
    explicit NodeStore(ObjectStore &store)
        : m_store(store)
    {}

    ~NodeStore() override
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->alive = false;
    }

    NodeStore(const NodeStore &) = delete;
    NodeStore &operator=(const NodeStore &) = delete;

    void get(const std::string &key, Callback done) override
    {
        m_store.get(key, dropIfDestroyed(std::move(done)));
    }

    void put(const std::string &key, const std::string &value, std::uint64_t expectedVersion,
             Callback done) override
    {
        m_store.put(key, value, expectedVersion, dropIfDestroyed(std::move(done)));
    }

    void watch(const std::string &key, std::uint64_t afterVersion, Duration timeout,
               Callback done) override
    {
        m_store.watch(key, afterVersion, timeout, dropIfDestroyed(std::move(done)));
    }

private:
    struct State
    {
        std::mutex mutex;
        bool alive = true;
    };

    Callback dropIfDestroyed(Callback done) const
    {
        return [state = m_state, done = std::move(done)](const StoreResult &result) {
            const std::lock_guard lock(state->mutex);
            if (state->alive)
                done(result);
        };
    }

    ObjectStore &m_store;
    std::shared_ptr<State> m_state = std::make_shared<State>();
};

/** The control services of one process with the real transport, clock and threads. */
class LoopbackNode
{
public:
    LoopbackNode(std::unique_ptr<ZeromqTransport> boundTransport, ObjectStore &sharedStore,
                 const std::vector<NodeId> &seeds)
        : transport(std::move(boundTransport))
        , id("127.0.0.1:" + std::to_string(transport->port()))
        , loop(m_clock)
        , store(sharedStore)
        , vmList(seeds)
        , bus(loop, *transport, m_metrics, id, static_cast<std::uint64_t>(m_clock.wallNow()))
        , membership(loop, bus, *transport, vmList, m_metrics, transport->port(), {})
        , config(loop, bus, membership, store, m_metrics, m_clock, transport->port())
        , lifecycle(loop, bus, membership, config, milliseconds(100),
                    LifecycleHooks{{}, [this](NodePhase phase) {
                                       if (phase == NodePhase::Stopped)
                                           stopped.set_value();
                                   }})
    {
        CPPUNIT_ASSERT(transport->start());
        loop.start();
        membership.start();
        config.start();
        lifecycle.start();
    }

    ~LoopbackNode()
    {
        loop.stop();
        transport->stop();
    }

    LoopbackNode(const LoopbackNode &) = delete;
    LoopbackNode &operator=(const LoopbackNode &) = delete;

    std::size_t liveCount()
    {
        std::size_t n = 0;
        loop.run([&] { n = membership.liveNodes().size(); });
        return n;
    }

    std::unique_ptr<ZeromqTransport> transport;
    NodeId id;
    std::promise<void> stopped;

private:
    SystemClock m_clock;
    test::CountingMetrics m_metrics;

public:
    ControlLoop loop;
    NodeStore store;
    StaticVmList vmList;
    PeerBus bus;
    MembershipService membership;
    ConfigService config;
    LifecycleService lifecycle;
};

} // namespace

class LoopbackNodesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoopbackNodesTest);
    CPPUNIT_TEST(nodesFindEachOtherAndSurviveRestart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against services that work only on the simulated network, without real sockets, clocks
    // and threads.
    void nodesFindEachOtherAndSurviveRestart()
    {
        MemoryObjectStore store;
        startAll(store);
        CPPUNIT_ASSERT(waitUntil([&] { return allSee(kNodes); }));
        CPPUNIT_ASSERT(waitUntil([&] {
            return std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto &it) {
                return it->lifecycle.phase() == NodePhase::Ready;
            });
        }));
        applyAndWait(1);
        restartLast(store);
        applyAndWait(2);
        stopFirst();
    }

private:
    void startAll(ObjectStore &store)
    {
        std::vector<std::unique_ptr<ZeromqTransport>> transports;
        for (std::size_t i = 0; i < kNodes; ++i) {
            transports.push_back(std::make_unique<ZeromqTransport>(peerSettings(0)));
            CPPUNIT_ASSERT(transports.back()->bind());
            m_ids.emplace_back("127.0.0.1:" + std::to_string(transports.back()->port()));
        }
        for (auto &it : transports)
            m_nodes.push_back(std::make_unique<LoopbackNode>(std::move(it), store, m_ids));
    }

    bool allSee(std::size_t n)
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(),
                           [&](const auto &it) { return it->liveCount() == n; });
    }

    void applyAndWait(std::uint64_t generation)
    {
        SharedConfig config;
        config.generation = generation;
        std::promise<ApplyResultInfo> applied;
        m_nodes[0]->config.apply(ConfigDocument::toText(config),
                                 [&](const auto &it) { applied.set_value(it); });
        CPPUNIT_ASSERT(applied.get_future().get().status == ApplyStatus::Accepted);
        std::promise<NodesInForce> inForce;
        m_nodes[0]->config.nodesInForce(generation, seconds(20),
                                        [&](const auto &it) { inForce.set_value(it); });
        const auto result = inForce.get_future().get();
        CPPUNIT_ASSERT(result.all());
        CPPUNIT_ASSERT_EQUAL(kNodes, result.nodes.size());
        for (const auto &it : m_nodes)
            CPPUNIT_ASSERT_EQUAL(generation, it->config.current()->generation);
    }

    void restartLast(ObjectStore &store)
    {
        const std::uint16_t port = m_nodes.back()->transport->port();
        m_nodes.pop_back();
        CPPUNIT_ASSERT(waitUntil([&] { return allSee(kNodes - 1); }));
        std::unique_ptr<ZeromqTransport> transport;
        CPPUNIT_ASSERT(waitUntil([&] {
            transport = std::make_unique<ZeromqTransport>(peerSettings(port));
            return static_cast<bool>(transport->bind());
        }));
        m_nodes.push_back(std::make_unique<LoopbackNode>(std::move(transport), store, m_ids));
        CPPUNIT_ASSERT(waitUntil([&] { return allSee(kNodes); }));
    }

    // The other nodes learn of a planned stop at once, without the failure detector.
    void stopFirst()
    {
        auto &stopped = m_nodes.front()->stopped;
        m_nodes.front()->lifecycle.requestStop();
        stopped.get_future().wait();
        // Destroys the node right after its phase is Stopped, as the process does.
        m_nodes.erase(m_nodes.begin());
        const auto end = std::chrono::steady_clock::now() + kShorterThanDetection;
        CPPUNIT_ASSERT(waitUntil([&] { return allSee(kNodes - 1); }));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() < end);
        m_nodes.clear();
    }

    std::vector<NodeId> m_ids;
    std::vector<std::unique_ptr<LoopbackNode>> m_nodes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopbackNodesTest);

} // namespace hawthornslip
