#include "drivers/asio/udp_peer_transport.h"
#include "tests/support/asio_loopback.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace hawthornslip::test {

class AsioLoopbackTest : public AsioLoopbackFixture
{
    CPPUNIT_TEST_SUITE(AsioLoopbackTest);
    CPPUNIT_TEST(servesManyRequestsOnOneConnection);
    CPPUNIT_TEST(readsChunkedBody);
    CPPUNIT_TEST(refusesBadInput);
    CPPUNIT_TEST(refusesSlowHeader);
    CPPUNIT_TEST(noticesLeavingCaller);
    CPPUNIT_TEST(streamsInChunks);
    CPPUNIT_TEST(lateWriteMeetsNoOtherRequest);
    CPPUNIT_TEST(clientReusesConnection);
    CPPUNIT_TEST(clientSkipsAnswerOfEarlierRequest);
    CPPUNIT_TEST(clientTellsCutFromEnd);
    CPPUNIT_TEST(clientNeverSendsTwice);
    CPPUNIT_TEST(clientTellsRefusedConnection);
    CPPUNIT_TEST(datagramsArrive);
    CPPUNIT_TEST_SUITE_END();

public:
    void servesManyRequestsOnOneConnection()
    {
        auto &peer = connectPeer();
        peer.send(
                "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET /b?q=1 HTTP/1.1\r\n"
                "Host: x\r\n\r\n");
        peer.expect("X-Path: /b");
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), m_sink->requests.at(0).body);
        CPPUNIT_ASSERT_EQUAL(std::string("q=1"), m_sink->requests.at(1).query);
        CPPUNIT_ASSERT(!peer.closed);
    }

    void readsChunkedBody()
    {
        auto &peer = connectPeer();
        peer.send("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        peer.send("2\r\nde\r\n0\r\n\r\n");
        peer.expect("abcde");
    }

    // Guards against bytes that another m_server would read as a second request, and against memory
    // that a caller may fill.
    void refusesBadInput()
    {
        m_sink->callerLimits.maxBodyBytes = 100;
        m_sink->callerLimits.maxHeaderBytes = 1000;
        const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
        const std::vector<std::pair<int, std::string>> cases = {
                {400, "nonsense\r\n\r\n"},
                {400, post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
                {400, post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"},
                {400, post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
                {400, post + "Content-Length: x\r\n\r\n"},
                {400, post + "Transfer-Encoding: identity\r\n\r\n"},
                {400, post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
                {413, post + "Content-Length: 101\r\n\r\n"},
                {431, post + "X: " + std::string(1000, 'a') + "\r\n\r\n"},
        };
        for (const auto &[status, bytes] : cases) {
            auto &peer = connectPeer();
            peer.send(bytes);
            peer.expect(fmt::format("HTTP/1.1 {}", status));
            peer.expectClosed();
            CPPUNIT_ASSERT_EQUAL(status, m_sink->badInput.back());
        }
        CPPUNIT_ASSERT(m_sink->requests.empty());
    }

    void refusesSlowHeader()
    {
        m_sink->callerLimits.headerTimeout = milliseconds(50);
        auto &peer = connectPeer();
        peer.send("GET / HTTP/1.1\r\nHo");
        peer.expect("HTTP/1.1 408");
        peer.expectClosed();
    }

    // Guards against upstream work for a caller that has left before the first byte.
    void noticesLeavingCaller()
    {
        m_sink->answer = nullptr;
        auto &peer = connectPeer();
        peer.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        runUntil(*m_loop, [this] { return !m_sink->requests.empty(); });
        peer.socket.close();
        runUntil(*m_loop, [this] { return m_sink->events->gone; });
    }

    void streamsInChunks()
    {
        m_sink->answer = nullptr;
        auto &peer = connectPeer();
        peer.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        runUntil(*m_loop, [this] { return !m_sink->writers.empty(); });
        auto &writer = *m_sink->writers.at(0);
        writer.begin(200, {}, std::nullopt);
        writer.write("first");
        peer.expect("5\r\nfirst\r\n");
        writer.write("second");
        writer.end();
        peer.expect("6\r\nsecond\r\n0\r\n\r\n");
    }

    // Guards against an answer that goes to the next request of a connection.
    void lateWriteMeetsNoOtherRequest()
    {
        m_sink->answer = nullptr;
        auto &peer = connectPeer();
        peer.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
        runUntil(*m_loop, [this] { return m_sink->writers.size() == 1; });
        answerOk(m_sink->requests.at(0), *m_sink->writers.at(0));
        peer.expect("X-Path: /1");
        peer.send("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
        runUntil(*m_loop, [this] { return m_sink->writers.size() == 2; });
        m_sink->writers.at(0)->begin(200, {{"X-Late", "1"}}, 0);
        m_sink->writers.at(0)->end();
        m_sink->writers.at(0)->abort();
        answerOk(m_sink->requests.at(1), *m_sink->writers.at(1));
        peer.expect("X-Path: /2");
        CPPUNIT_ASSERT(peer.received.find("X-Late") == std::string::npos);
    }

    void clientReusesConnection()
    {
        for (int i = 0; i < 3; ++i) {
            const auto handler = std::make_shared<RecordingHandler>();
            UpstreamRequest request;
            request.url = fmt::format("http://127.0.0.1:{}/p{}", m_server->port(), i);
            request.headers = {{"Host", "x"}};
            request.body = "body";
            m_client->send(request, handler);
            runUntil(*m_loop, [&] { return handler->ended; });
            CPPUNIT_ASSERT(handler->end.result == UpstreamResult::Complete);
            CPPUNIT_ASSERT_EQUAL(std::string("body"), handler->body);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_client->opened());
    }

    // Guards against a crossed answer: an upstream that answers one request twice.
    void clientSkipsAnswerOfEarlierRequest()
    {
        const auto handler = sendToPeer("2");
        auto &peer = acceptPeer();
        peer.expect("\r\n\r\n");
        peer.send("HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 3\r\n\r\nold"
                  "HTTP/1.1 200 OK\r\nid: 2\r\nContent-Length: 3\r\n\r\nnew");
        runUntil(*m_loop, [&] { return handler->ended; });
        CPPUNIT_ASSERT_EQUAL(std::string("new"), handler->body);
        CPPUNIT_ASSERT(handler->end.result == UpstreamResult::Complete);
    }

    // Guards against an answer that breaks off and looks complete.
    void clientTellsCutFromEnd()
    {
        const std::vector<std::pair<UpstreamResult, std::string>> cases = {
                {UpstreamResult::Complete, "HTTP/1.1 200 OK\r\n\r\nwhole"},
                {UpstreamResult::Broken, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole"},
                {UpstreamResult::Broken,
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"},
                {UpstreamResult::Broken, "HTTP/1.1 2"},
                {UpstreamResult::Broken, ""},
                {UpstreamResult::Broken, "garbage\r\n\r\n"},
        };
        for (const auto &[result, bytes] : cases) {
            const auto handler = sendToPeer("1");
            auto &peer = acceptPeer();
            peer.expect("\r\n\r\n");
            peer.send(bytes);
            peer.socket.shutdown(tcp::socket::shutdown_send);
            runUntil(*m_loop, [&] { return handler->ended; });
            CPPUNIT_ASSERT_MESSAGE(bytes, handler->end.result == result);
            CPPUNIT_ASSERT_EQUAL(result == UpstreamResult::Complete, handler->end.endedByClose);
        }
    }

    // Guards against a request that is sent again when a kept connection turns out to be closed.
    void clientNeverSendsTwice()
    {
        auto handler = sendToPeer("1");
        auto &peer = acceptPeer();
        peer.expect("\r\n\r\n");
        peer.send("HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 0\r\n\r\n");
        runUntil(*m_loop, [&] { return handler->ended; });
        handler = sendToPeer("2");
        runUntil(*m_loop, [&] { return peer.received.find("id: 2") != std::string::npos; });
        peer.socket.close();
        runUntil(*m_loop, [&] { return handler->ended; });
        CPPUNIT_ASSERT(handler->end.result == UpstreamResult::Broken);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_client->opened());
    }

    void clientTellsRefusedConnection()
    {
        const auto port = m_acceptor->local_endpoint().port();
        m_acceptor->close();
        const auto handler = std::make_shared<RecordingHandler>();
        UpstreamRequest request;
        request.url = fmt::format("http://127.0.0.1:{}/", port);
        m_client->send(request, handler);
        runUntil(*m_loop, [&] { return handler->ended; });
        CPPUNIT_ASSERT(handler->end.result == UpstreamResult::ConnectFailed);
    }

    void datagramsArrive()
    {
        UdpPeerTransport first(*m_loop);
        UdpPeerTransport second(*m_loop);
        CPPUNIT_ASSERT(first.start({"127.0.0.1", 0}));
        CPPUNIT_ASSERT(second.start({"127.0.0.1", 0}));
        std::string received;
        second.setReceiver([&received](const std::string &bytes) { received = bytes; });
        first.send(NodeId(fmt::format("127.0.0.1:{}", second.port())), "hello");
        runUntil(*m_loop, [&] { return received == "hello"; });
        // A message to a node without an address is dropped.
        first.send(NodeId("nowhere"), "hello");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AsioLoopbackTest);

} // namespace hawthornslip::test
