#include "drivers/zeromq/zeromq_transport.h"

#include <cppunit/extensions/HelperMacros.h>
#include <zmq.h>

#include <array>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace hawthornslip {

namespace {

constexpr auto kPatience = std::chrono::seconds(20);

struct KeyPair
{
    std::string publicKey;
    std::string secretKey;
};

KeyPair newKeys()
{
    std::array<char, 41> publicKey{};
    std::array<char, 41> secretKey{};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return {publicKey.data(), secretKey.data()};
}

/** A transport and what it received. */
class Endpoint
{
public:
    Endpoint(const KeyPair &keys, std::vector<std::string> allowed, std::uint16_t port = 0,
             TransportLimits limits = {})
    {
        PeerSettings settings;
        settings.curvePublicKey = keys.publicKey;
        settings.curveSecretKey = keys.secretKey;
        settings.allowedKeys = std::move(allowed);
        settings.listen.port = port;
        transport = std::make_unique<ZeromqTransport>(settings, limits);
        transport->setReceiver([this](const std::string &bytes) {
            const std::lock_guard lock(m_mutex);
            m_received.push_back(bytes);
            m_changed.notify_all();
        });
        m_started = static_cast<bool>(transport->start());
    }

    ~Endpoint() { transport->stop(); }

    bool started() const { return m_started; }
    NodeId id() const { return NodeId("127.0.0.1:" + std::to_string(transport->port())); }

    /** Waits until @p bytes was received; repeats @p poke meanwhile. */
    bool waitFor(const std::string &bytes, const std::function<void()> &poke = {},
                 std::chrono::milliseconds patience = kPatience)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        std::unique_lock lock(m_mutex);
        while (std::find(m_received.begin(), m_received.end(), bytes) == m_received.end()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            if (poke) {
                lock.unlock();
                poke();
                lock.lock();
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(20));
        }
        return true;
    }

    std::size_t count()
    {
        const std::lock_guard lock(m_mutex);
        return m_received.size();
    }

    std::unique_ptr<ZeromqTransport> transport;

private:
    bool m_started = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_received;
};

bool waitUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + kPatience;
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        never.wait_for(lock, std::chrono::milliseconds(10));
    }
    return true;
}

} // namespace

class ZeromqTransportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ZeromqTransportTest);
    CPPUNIT_TEST(carriesMessagesBothWays);
    CPPUNIT_TEST(refusesKeyThatIsNotAllowed);
    CPPUNIT_TEST(reachesPeerWithRotatedKey);
    CPPUNIT_TEST(reachesRestartedPeer);
    CPPUNIT_TEST(stopSendsWhatWaits);
    CPPUNIT_TEST(dropsWhenPeerIsUnreachable);
    CPPUNIT_TEST(closesOnDisconnectAndWhenIdle);
    CPPUNIT_TEST(boundsOpenConnections);
    CPPUNIT_TEST(reportsInvalidKeyAndUsedPort);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a node that receives but cannot answer, and against cut or merged messages.
    void carriesMessagesBothWays()
    {
        const auto keys = newKeys();
        Endpoint a(keys, {keys.publicKey});
        Endpoint b(keys, {keys.publicKey});
        const std::string large(1U << 20, 'x');
        a.transport->send(b.id(), large);
        CPPUNIT_ASSERT(b.waitFor(large));
        b.transport->send(a.id(), std::string("with\0zero", 9));
        CPPUNIT_ASSERT(a.waitFor(std::string("with\0zero", 9)));
    }

    // Guards against an allow list that is not consulted.
    void refusesKeyThatIsNotAllowed()
    {
        const auto keys = newKeys();
        const auto stranger = newKeys();
        Endpoint server(keys, {keys.publicKey});
        Endpoint outsider(stranger, {stranger.publicKey, keys.publicKey});
        Endpoint friendly(keys, {keys.publicKey});
        const auto poke = [&] {
            outsider.transport->send(server.id(), "outsider");
            friendly.transport->send(server.id(), "friendly");
        };
        CPPUNIT_ASSERT(server.waitFor("friendly", poke));
        CPPUNIT_ASSERT(!server.waitFor("outsider", poke, std::chrono::milliseconds(500)));
    }

    // Guards against a deployment that falls apart while its key pair is replaced.
    void reachesPeerWithRotatedKey()
    {
        const auto before = newKeys();
        const auto after = newKeys();
        const std::vector<std::string> both = {before.publicKey, after.publicKey};
        Endpoint a(before, both);
        Endpoint b(after, both);
        CPPUNIT_ASSERT(b.waitFor("hello", [&] { a.transport->send(b.id(), "hello"); }));
        CPPUNIT_ASSERT(a.waitFor("hello", [&] { b.transport->send(a.id(), "hello"); }));
    }

    // Guards against a connection that stays bound to the process that is gone.
    void reachesRestartedPeer()
    {
        const auto keys = newKeys();
        Endpoint a(keys, {keys.publicKey});
        auto b = std::make_unique<Endpoint>(keys, std::vector{keys.publicKey});
        const NodeId id = b->id();
        const std::uint16_t port = b->transport->port();
        a.transport->send(id, "first");
        CPPUNIT_ASSERT(b->waitFor("first"));
        b.reset();
        CPPUNIT_ASSERT(waitUntil([&] {
            b = std::make_unique<Endpoint>(keys, std::vector{keys.publicKey}, port);
            return b->started();
        }));
        CPPUNIT_ASSERT(b->waitFor("second", [&] { a.transport->send(id, "second"); }));
    }

    // Guards against a last message that is lost because its sender stops.
    void stopSendsWhatWaits()
    {
        const auto keys = newKeys();
        Endpoint b(keys, {keys.publicKey});
        for (int i = 0; i < 10; ++i) {
            Endpoint a(keys, {keys.publicKey});
            a.transport->send(b.id(), "last " + std::to_string(i));
            a.transport->stop();
            CPPUNIT_ASSERT(b.waitFor("last " + std::to_string(i)));
        }
    }

    // Guards against a sender that blocks or grows without bound towards a dead peer.
    void dropsWhenPeerIsUnreachable()
    {
        const auto keys = newKeys();
        TransportLimits limits;
        limits.maxPerPeer = 10;
        Endpoint a(keys, {keys.publicKey}, 0, limits);
        constexpr int kMessages = 1000;
        for (int i = 0; i < kMessages; ++i)
            a.transport->send(NodeId("127.0.0.1:1"), "lost");
        a.transport->send(NodeId("not an address"), "lost");
        CPPUNIT_ASSERT(waitUntil([&] { return a.transport->dropped() >= kMessages - 100; }));
    }

    // Guards against connections that pile up while nodes come and go.
    void closesOnDisconnectAndWhenIdle()
    {
        const auto keys = newKeys();
        TransportLimits limits;
        limits.idleTimeout = milliseconds(300);
        Endpoint a(keys, {keys.publicKey}, 0, limits);
        Endpoint b(keys, {keys.publicKey});
        CPPUNIT_ASSERT(b.waitFor("one", [&] { a.transport->send(b.id(), "one"); }));
        a.transport->disconnect(b.id());
        CPPUNIT_ASSERT(waitUntil([&] { return a.transport->openPeers() == 0; }));
        CPPUNIT_ASSERT(b.waitFor("two", [&] { a.transport->send(b.id(), "two"); }));
        CPPUNIT_ASSERT(waitUntil([&] { return a.transport->openPeers() == 0; }));
    }

    // Guards against running out of sockets when many addresses are tried.
    void boundsOpenConnections()
    {
        const auto keys = newKeys();
        TransportLimits limits;
        limits.maxPeers = 4;
        Endpoint a(keys, {keys.publicKey}, 0, limits);
        Endpoint b(keys, {keys.publicKey});
        for (int port = 1; port <= 20; ++port)
            a.transport->send(NodeId("127.0.0.1:" + std::to_string(port)), "lost");
        CPPUNIT_ASSERT(b.waitFor("still works", [&] { a.transport->send(b.id(), "still works"); }));
        CPPUNIT_ASSERT(a.transport->openPeers() <= limits.maxPeers);
    }

    // Guards against a node that seems to start and hears nobody.
    void reportsInvalidKeyAndUsedPort()
    {
        const auto keys = newKeys();
        Endpoint a(keys, {keys.publicKey});
        CPPUNIT_ASSERT(a.started());
        Endpoint samePort(keys, {keys.publicKey}, a.transport->port());
        CPPUNIT_ASSERT(!samePort.started());
        Endpoint badKey({"short", "short"}, {});
        CPPUNIT_ASSERT(!badKey.started());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZeromqTransportTest);

} // namespace hawthornslip
