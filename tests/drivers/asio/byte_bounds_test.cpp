#include "modules/memory/byte_account.h"
#include "tests/support/asio_loopback.h"

namespace hawthornslip::test {

namespace {

constexpr std::size_t kMiB = 1 << 20;
const std::string kChunked = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string post(std::size_t announced, std::size_t sent)
{
    return fmt::format("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{}", announced,
                       std::string(sent, 'b'));
}

} // namespace

class ByteBoundsTest : public AsioLoopbackFixture
{
    CPPUNIT_TEST_SUITE(ByteBoundsTest);
    CPPUNIT_TEST(boundsTrailersAndChunkLines);
    CPPUNIT_TEST(acceptsTrailersWithinTheHeaderBytes);
    CPPUNIT_TEST(refusesALargeBodyBeforeItIsRead);
    CPPUNIT_TEST(refusesAChunkedBodyOnceItIsLarge);
    CPPUNIT_TEST(servesASmallRequestWhileLargeOnesAreRefused);
    CPPUNIT_TEST(asksTheStoppedBodyToGiveWay);
    CPPUNIT_TEST(requestThatMakesWayForOthersIsAnswered);
    CPPUNIT_TEST(chargesNothingAfterAnAnswer);
    CPPUNIT_TEST(sendsALargeSharedBodyWhole);
    CPPUNIT_TEST(boundsTrailersOfAnUpstream);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        AsioLoopbackFixture::setUp();
        m_account = std::make_unique<ByteAccount>(ByteLimits{4 * kMiB, 5 * kMiB, 6 * kMiB});
        m_loop->setByteLedger(*m_account);
    }

    void tearDown() override
    {
        AsioLoopbackFixture::tearDown();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_account->total());
    }

private:
    // Guards against parts of a message without a bound of their own.
    void boundsTrailersAndChunkLines()
    {
        m_sink->callerLimits.maxHeaderBytes = 1000;
        const std::string field = "T: " + std::string(97, 't') + "\r\n";
        std::string fields;
        for (int i = 0; i < 20; ++i)
            fields += field;
        std::string extensions;
        for (int i = 0; i < 20; ++i)
            extensions += "1;e=" + std::string(97, 'e') + "\r\nb\r\n";
        const std::vector<std::string> cases = {
                kChunked + "1\r\nb\r\n0\r\n" + fields,
                kChunked + "1\r\nb\r\n0\r\n" + fields + "\r\n",
                kChunked + "1;e=" + std::string(1100, 'e'),
                kChunked + extensions,
        };
        for (const auto &it : cases) {
            auto &peer = connectPeer();
            peer.send(it);
            peer.expect("HTTP/1.1 431");
            peer.expectClosed();
        }
        CPPUNIT_ASSERT(m_sink->requests.empty());
    }

    // Guards against refusing what the limits allow.
    void acceptsTrailersWithinTheHeaderBytes()
    {
        auto &peer = connectPeer();
        peer.send(kChunked + "1;e=f\r\nb\r\n0\r\nT: v\r\n\r\n");
        peer.expect("HTTP/1.1 200");
    }

    // Guards against reading a body for which there is no room, and against a refusal that keeps
    // the connection with the body still on it.
    void refusesALargeBodyBeforeItIsRead()
    {
        m_account->hold(3 * kMiB);
        auto &peer = connectPeer();
        peer.send(post(2 * kMiB, 0));
        peer.expect("HTTP/1.1 503");
        peer.expect("Retry-After: ");
        peer.expect("Connection: close");
        peer.expectClosed();
        CPPUNIT_ASSERT(m_sink->requests.empty());
        m_account->release(3 * kMiB);
    }

    // Guards against bodies of unknown length that pass the check of the announced ones.
    void refusesAChunkedBodyOnceItIsLarge()
    {
        m_account->hold(4 * kMiB);
        auto &peer = connectPeer();
        peer.send(kChunked + "20000\r\n" + std::string(80 << 10, 'b'));
        peer.expect("HTTP/1.1 503");
        peer.expectClosed();
        m_account->release(4 * kMiB);
    }

    // Guards against a process that refuses everyone because of a few large bodies.
    void servesASmallRequestWhileLargeOnesAreRefused()
    {
        m_account->hold(5 * kMiB);
        auto &peer = connectPeer();
        peer.send(post(32 << 10, 32 << 10));
        peer.expect("HTTP/1.1 200");
        m_account->release(5 * kMiB);
    }

    // Guards against memory that bodies keep which stop short of their end.
    void asksTheStoppedBodyToGiveWay()
    {
        auto &stopped = connectPeer();
        stopped.send(post(3 * kMiB, 3 * kMiB - 1));
        runUntil(*m_loop, [this] { return m_account->total() > 2 * kMiB; });
        m_account->hold(2 * kMiB);
        auto &small = connectPeer();
        small.send(post(32 << 10, 32 << 10));
        stopped.expect("HTTP/1.1 503");
        small.expect("HTTP/1.1 200");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_account->reclaimed());
        m_account->release(2 * kMiB);
    }

    // Guards against a request that ends without an answer because the process holds too much.
    void requestThatMakesWayForOthersIsAnswered()
    {
        m_sink->answer = nullptr;
        auto &open = connectPeer();
        open.send("GET /open HTTP/1.1\r\nHost: x\r\nX: " + std::string(15 << 10, 'x') + "\r\n\r\n");
        runUntil(*m_loop, [this] { return !m_sink->writers.empty(); });
        m_account->hold(6 * kMiB);
        m_sink->answer = answerOk;
        auto &small = connectPeer();
        small.send("GET /small HTTP/1.1\r\nHost: x\r\nX: " + std::string(5 << 10, 'x') +
                   "\r\n\r\n");
        open.expect("HTTP/1.1 503");
        open.expect("Connection: close");
        m_account->release(6 * kMiB);
    }

    // Guards against a sum that grows with each request until everyone is refused.
    void chargesNothingAfterAnAnswer()
    {
        auto &peer = connectPeer();
        peer.send(post(3 * kMiB, 3 * kMiB));
        runUntil(*m_loop, [&] { return peer.received.size() >= 3 * kMiB; });
        m_sink->requests.clear();
        runUntil(*m_loop, [this] { return m_account->total() == 0; });
    }

    // Guards against bytes lost or sent twice where head and body are written in parts.
    void sendsALargeSharedBodyWhole()
    {
        std::string body;
        while (body.size() < 3 * kMiB)
            body += fmt::format("{} ", body.size());
        UpstreamRequest request;
        request.url = fmt::format("http://127.0.0.1:{}/", m_server->port());
        request.headers = {{"Host", "x"}};
        request.sharedBody = std::make_shared<const std::string>(body);
        const auto handler = std::make_shared<RecordingHandler>();
        m_client->send(request, handler);
        runUntil(*m_loop, [&] { return handler->ended; });
        CPPUNIT_ASSERT_EQUAL(200, handler->status);
        CPPUNIT_ASSERT(handler->body == body);
        m_sink->requests.clear();
    }

    // Guards against an upstream whose trailers do not end.
    void boundsTrailersOfAnUpstream()
    {
        const auto handler = sendToPeer("1");
        auto &peer = acceptPeer();
        peer.send("HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n");
        peer.send("T: " + std::string(20 << 10, 't'));
        runUntil(*m_loop, [&] { return handler->ended; });
        CPPUNIT_ASSERT(handler->end.result == UpstreamResult::Broken);
    }

    std::unique_ptr<ByteAccount> m_account;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ByteBoundsTest);

} // namespace hawthornslip::test
