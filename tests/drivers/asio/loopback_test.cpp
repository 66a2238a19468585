#include "drivers/asio/asio_event_loop.h"
#include "drivers/asio/asio_http_server.h"
#include "drivers/asio/asio_upstream_client.h"
#include "drivers/asio/udp_peer_transport.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hawthornslip::test {

namespace {

using boost::asio::ip::tcp;

/** Answers requests as the test says. */
class TestSink : public RequestSink
{
public:
    std::shared_ptr<CallerEvents> onRequest(HttpRequest request,
                                            std::shared_ptr<ResponseWriter> writer) override
    {
        requests.push_back(request);
        events = std::make_shared<Events>();
        if (answer)
            answer(request, *writer);
        writers.push_back(std::move(writer));
        return events;
    }
    CallerLimits limits() const override { return callerLimits; }
    bool isStopping() const override { return false; }
    void onBadInput(int status, std::string_view) override { badInput.push_back(status); }

    struct Events : public CallerEvents
    {
        bool gone = false;
        void onCallerGone() override { gone = true; }
        void onSendBufferEmpty() override {}
    };

    std::vector<HttpRequest> requests;
    std::vector<std::shared_ptr<ResponseWriter>> writers;
    std::vector<int> badInput;
    std::shared_ptr<Events> events;
    std::function<void(const HttpRequest &, ResponseWriter &)> answer;
    CallerLimits callerLimits;
};

void answerOk(const HttpRequest &request, ResponseWriter &writer)
{
    writer.begin(200, {{"X-Path", request.path}}, request.body.size());
    writer.write(request.body);
    writer.end();
}

/** Runs the loop until @p done holds; fails after ten seconds. */
void runUntil(AsioEventLoop &loop, const std::function<bool()> &done)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!done() && std::chrono::steady_clock::now() < end)
        loop.context().run_for(std::chrono::milliseconds(5));
    CPPUNIT_ASSERT_MESSAGE("condition within ten seconds", done());
}

/** A peer that speaks bytes. */
class RawPeer
{
public:
    explicit RawPeer(AsioEventLoop &loop)
        : m_loop(loop)
        , socket(loop.context())
    {}

    void connect(std::uint16_t port)
    {
        socket.connect({boost::asio::ip::address_v4::loopback(), port});
        read();
    }
    void accepted() { read(); }
    void send(const std::string &bytes) { boost::asio::write(socket, boost::asio::buffer(bytes)); }
    void expect(const std::string &text)
    {
        runUntil(m_loop, [&] { return received.find(text) != std::string::npos; });
    }
    void expectClosed()
    {
        runUntil(m_loop, [&] { return closed; });
    }

private:
    void read()
    {
        socket.async_read_some(boost::asio::buffer(m_buffer),
                               [this](const boost::system::error_code &ec, std::size_t n) {
                                   received.append(m_buffer.data(), n);
                                   closed = closed || ec;
                                   if (!ec)
                                       read();
                               });
    }

    AsioEventLoop &m_loop;
    std::array<char, 4096> m_buffer{};

public:
    tcp::socket socket;
    std::string received;
    bool closed = false;
};

struct RecordingHandler : public UpstreamHandler
{
    void onHeaders(int code, const std::vector<std::pair<std::string, std::string>> &) override
    {
        status = code;
    }
    bool onData(std::string_view piece) override
    {
        body += piece;
        return true;
    }
    void onEnd(const UpstreamEnd &result) override
    {
        end = result;
        ended = true;
    }

    int status = 0;
    std::string body;
    UpstreamEnd end;
    bool ended = false;
};

} // namespace

class AsioLoopbackTest : public CppUnit::TestFixture
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
    void setUp() override
    {
        m_sink = std::make_unique<TestSink>();
        m_sink->answer = answerOk;
        m_loop = std::make_unique<AsioEventLoop>();
        m_server = std::make_unique<AsioHttpServer>(*m_loop, *m_sink, 100);
        CPPUNIT_ASSERT(m_server->start({"127.0.0.1", 0}));
        m_acceptor = std::make_unique<tcp::acceptor>(
                m_loop->context(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        m_client = std::make_unique<AsioUpstreamClient>(*m_loop, seconds(3));
    }

    void tearDown() override
    {
        m_peers.clear();
        m_client.reset();
        m_acceptor.reset();
        m_server.reset();
        m_loop.reset();
        m_sink.reset();
    }

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
        }
    }

    // Guards against a request that is sent again when a kept connection turns out to be closed.
    void clientNeverSendsTwice()
    {
        auto handler = sendToPeer("1");
        auto &peer = acceptPeer();
        peer.expect("\r\n\r\n");
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
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

private:
    RawPeer &connectPeer()
    {
        m_peers.push_back(std::make_unique<RawPeer>(*m_loop));
        m_peers.back()->connect(m_server->port());
        return *m_peers.back();
    }

    RawPeer &acceptPeer()
    {
        auto peer = std::make_unique<RawPeer>(*m_loop);
        bool accepted = false;
        m_acceptor->async_accept(
                peer->socket, [&accepted](const boost::system::error_code &) { accepted = true; });
        runUntil(*m_loop, [&accepted] { return accepted; });
        peer->accepted();
        m_peers.push_back(std::move(peer));
        return *m_peers.back();
    }

    std::shared_ptr<RecordingHandler> sendToPeer(const std::string &id)
    {
        auto handler = std::make_shared<RecordingHandler>();
        UpstreamRequest request;
        request.method = "GET";
        request.url = fmt::format("http://127.0.0.1:{}/", m_acceptor->local_endpoint().port());
        request.headers = {{"Host", "x"}, {"id", id}};
        request.tagHeader = "id";
        request.tag = id;
        m_client->send(request, handler);
        return handler;
    }

    std::unique_ptr<TestSink> m_sink;
    std::unique_ptr<AsioEventLoop> m_loop;
    std::unique_ptr<AsioHttpServer> m_server;
    std::unique_ptr<tcp::acceptor> m_acceptor;
    std::unique_ptr<AsioUpstreamClient> m_client;
    std::vector<std::unique_ptr<RawPeer>> m_peers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AsioLoopbackTest);

} // namespace hawthornslip::test
