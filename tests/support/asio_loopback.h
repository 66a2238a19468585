#pragma once

#include "drivers/asio/asio_event_loop.h"
#include "drivers/asio/asio_http_server.h"
#include "drivers/asio/asio_upstream_client.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/** Peers on loopback for tests of the event loop's server and client. */
namespace hawthornslip::test {

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
        events->writer = writer;
        if (answer)
            answer(request, *writer);
        writers.push_back(std::move(writer));
        return events;
    }
    CallerLimits limits() const override { return callerLimits; }
    bool isStopping() const override { return stopping; }
    void onBadInput(int status, std::string_view) override { badInput.push_back(status); }
    void onConnectionEnd(const ConnectionEnd &end) override { ends.push_back(end); }

    struct Events : public CallerEvents
    {
        bool gone = false;
        void onCallerGone() override { gone = true; }
        void onSendBufferEmpty() override {}
        void onMemoryFull() override
        {
            writer->begin(503, {}, 0);
            writer->end();
        }

        std::shared_ptr<ResponseWriter> writer;
    };

    std::vector<HttpRequest> requests;
    std::vector<std::shared_ptr<ResponseWriter>> writers;
    std::vector<int> badInput;
    std::vector<ConnectionEnd> ends;
    std::shared_ptr<Events> events;
    std::function<void(const HttpRequest &, ResponseWriter &)> answer;
    CallerLimits callerLimits;
    bool stopping = false;
};

inline void answerOk(const HttpRequest &request, ResponseWriter &writer)
{
    writer.begin(200, {{"X-Path", request.path}}, request.body.size());
    writer.write(request.body);
    writer.end();
}

/** Runs the loop until @p done holds; fails after ten seconds. */
inline void runUntil(AsioEventLoop &loop, const std::function<bool()> &done)
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
                                   const bool isEnd = ec && !closed;
                                   closed = closed || ec;
                                   if (isEnd && onClosed)
                                       onClosed();
                                   wasReset = ec == boost::asio::error::connection_reset;
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
    /** Called once, as the end of the connection is seen. */
    std::function<void()> onClosed;
    /** The connection ended with a reset instead of an orderly close. */
    bool wasReset = false;
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

/** A server, a client and a listener for raw peers on one event loop. */
class AsioLoopbackFixture : public CppUnit::TestFixture
{
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
        // Writers keep their connections, which must not outlive the loop.
        m_sink->writers.clear();
        m_sink->events.reset();
        m_loop.reset();
        m_sink.reset();
    }

protected:
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

    std::shared_ptr<RecordingHandler> sendToPeer(const std::string &id,
                                                 const std::string &body = "")
    {
        auto handler = std::make_shared<RecordingHandler>();
        UpstreamRequest request;
        request.method = "GET";
        request.url = fmt::format("http://127.0.0.1:{}/", m_acceptor->local_endpoint().port());
        request.headers = {{"Host", "x"}, {"id", id}};
        request.tagHeader = "id";
        request.tag = id;
        request.body = body;
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

} // namespace hawthornslip::test
