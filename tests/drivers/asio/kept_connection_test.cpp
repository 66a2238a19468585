#include "tests/support/asio_loopback.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>

namespace hawthornslip::test {

namespace {

const std::string kRequest = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string kNext = "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

/** Requests on connections that callers keep open between them. */
class KeptConnectionTest : public AsioLoopbackFixture
{
    CPPUNIT_TEST_SUITE(KeptConnectionTest);
    CPPUNIT_TEST(requestThatCrossesTheIdleCloseIsLeftUnread);
    CPPUNIT_TEST(requestThatCrossesTheCloseOfAStopIsLeftUnread);
    CPPUNIT_TEST(requestInTheSocketAsTheLimitPassesIsAnswered);
    CPPUNIT_TEST(requestInTheSocketAsItsTimeLimitPassesIsAnswered);
    CPPUNIT_TEST(raisedIdleLimitHoldsForConnectionsThatAreIdle);
    CPPUNIT_TEST(loweredIdleLimitDoesNotBreakWhatAnAnswerSaid);
    CPPUNIT_TEST(answersNameHowLongTheirConnectionIsKept);
    CPPUNIT_TEST(bytesAfterTheLastAnswerDoNotCutItOff);
    CPPUNIT_TEST(requestReadBehindAnotherIsAnsweredInAStop);
    CPPUNIT_TEST(roomIsNotMadeOfConnectionsWithARequest);
    CPPUNIT_TEST(partOfARequestIsRefusedToMakeRoom);
    CPPUNIT_TEST(partOfARequestIsRefusedAtTheEndOfAStop);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that is read whole and gets neither an answer nor a refusal.
    void requestThatCrossesTheIdleCloseIsLeftUnread()
    {
        m_sink->callerLimits.idleTimeout = milliseconds(30);
        auto &peer = connectPeer();
        peer.onClosed = [&peer] { peer.send(kNext); };
        peer.send(kRequest);
        peer.expect("X-Path: /1");
        peer.expectClosed();
        expectReset(peer, ConnectionEndCause::IdleTimeout);
    }

    void requestThatCrossesTheCloseOfAStopIsLeftUnread()
    {
        auto &peer = connectPeer();
        peer.send(kRequest);
        peer.expect("X-Path: /1");
        m_sink->stopping = true;
        peer.onClosed = [&peer] { peer.send(kNext); };
        m_server->closeIdle();
        peer.expectClosed();
        expectReset(peer, ConnectionEndCause::Stopping);
    }

    // Guards against a request that arrived in time and is dropped because the process was late.
    void requestInTheSocketAsTheLimitPassesIsAnswered()
    {
        m_sink->callerLimits.idleTimeout = milliseconds(200);
        auto &peer = connectPeer();
        peer.send(kRequest);
        peer.expect("X-Path: /1");
        // Both are due when the loop runs again, so that it does not look at the socket in between.
        m_loop->after(Duration(0), [&peer] { peer.send(kNext); });
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        peer.expect("X-Path: /2");
    }

    void requestInTheSocketAsItsTimeLimitPassesIsAnswered()
    {
        m_sink->callerLimits.headerTimeout = milliseconds(200);
        auto &peer = connectPeer();
        peer.send(kRequest.substr(0, 10));
        m_loop->context().run_for(std::chrono::milliseconds(10));
        // Both are due when the loop runs again, so that it does not look at the socket in between.
        m_loop->after(Duration(0), [&peer] { peer.send(kRequest.substr(10)); });
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        peer.expect("X-Path: /1");
    }

    // Guards against a limit that callers no longer go by.
    void raisedIdleLimitHoldsForConnectionsThatAreIdle()
    {
        m_sink->callerLimits.idleTimeout = milliseconds(300);
        auto &peer = connectPeer();
        peer.send(kRequest);
        peer.expect("X-Path: /1");
        m_sink->callerLimits.idleTimeout = seconds(10);
        m_loop->context().run_for(std::chrono::milliseconds(600));
        peer.send(kNext);
        peer.expect("X-Path: /2");
    }

    // Guards against an answer whose caller is told of a limit that has been lowered when it ends.
    void loweredIdleLimitDoesNotBreakWhatAnAnswerSaid()
    {
        m_sink->callerLimits.idleTimeout = seconds(15);
        m_sink->answer = nullptr;
        auto &peer = connectPeer();
        peer.send(kRequest);
        runUntil(*m_loop, [this] { return m_sink->writers.size() == 1; });
        m_sink->writers[0]->begin(200, {{"X-Path", "/1"}}, std::nullopt);
        peer.expect("Keep-Alive: timeout=12\r\n");
        m_sink->callerLimits.idleTimeout = milliseconds(50);
        m_sink->writers[0]->end();
        m_sink->answer = answerOk;
        m_loop->context().run_for(std::chrono::milliseconds(300));
        peer.send(kNext);
        peer.expect("X-Path: /2");
    }

    void answersNameHowLongTheirConnectionIsKept()
    {
        m_sink->callerLimits.idleTimeout = seconds(15);
        auto &peer = connectPeer();
        peer.send(kRequest);
        peer.expect("Keep-Alive: timeout=12\r\n");
        auto &last = connectPeer();
        last.send("GET /3 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        last.expect("Connection: close\r\n");
        CPPUNIT_ASSERT(last.received.find("Keep-Alive") == std::string::npos);
    }

    void bytesAfterTheLastAnswerDoNotCutItOff()
    {
        static constexpr std::size_t kAnswerBytes = 1 << 20;
        m_sink->answer = [](const HttpRequest &, ResponseWriter &writer) {
            writer.begin(200, {}, kAnswerBytes);
            writer.write(std::string(kAnswerBytes, 'a'));
            writer.end();
        };
        tcp::socket caller(m_loop->context(), tcp::v4());
        // So small that the answer waits in the server's socket.
        caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        caller.connect({boost::asio::ip::address_v4::loopback(), m_server->port()});
        boost::asio::write(caller,
                           boost::asio::buffer(std::string(
                                   "GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")));
        runUntil(*m_loop, [this] { return !m_sink->requests.empty(); });
        boost::asio::write(caller, boost::asio::buffer(std::string("\r\n")));
        runUntil(*m_loop, [this] { return !m_sink->ends.empty(); });
        std::string received;
        boost::system::error_code ec;
        boost::asio::read(caller, boost::asio::dynamic_buffer(received), ec);
        CPPUNIT_ASSERT(ec == boost::asio::error::eof);
        CPPUNIT_ASSERT_GREATER(kAnswerBytes, received.size());
    }

    void requestReadBehindAnotherIsAnsweredInAStop()
    {
        m_sink->answer = nullptr;
        auto &peer = connectPeer();
        peer.send(kRequest + kNext);
        runUntil(*m_loop, [this] { return m_sink->writers.size() == 1; });
        m_sink->stopping = true;
        m_sink->answer = answerOk;
        answerOk(m_sink->requests[0], *m_sink->writers[0]);
        peer.expect("X-Path: /2");
        peer.expect("Connection: close");
    }

    // Guards against a request that is dropped because a newer connection needs the room.
    void roomIsNotMadeOfConnectionsWithARequest()
    {
        limitConnections(2);
        auto &oldest = connectPeer();
        auto &idle = connectPeer();
        for (auto *it : {&oldest, &idle}) {
            it->send(kRequest);
            it->expect("X-Path: /1");
        }
        // The new connection is ready first, so that the loop takes it before it reads the request.
        auto &next = connectPeer();
        oldest.send(kNext);
        next.send(kRequest);
        oldest.expect("X-Path: /2");
        next.expect("X-Path: /1");
        idle.expectClosed();
    }

    void partOfARequestIsRefusedToMakeRoom()
    {
        limitConnections(1);
        auto &part = connectPeer();
        part.send(kRequest.substr(0, 10));
        m_loop->context().run_for(std::chrono::milliseconds(20));
        auto &next = connectPeer();
        next.send(kRequest);
        next.expect("X-Path: /1");
        part.expect("HTTP/1.1 503");
    }

    void partOfARequestIsRefusedAtTheEndOfAStop()
    {
        auto &part = connectPeer();
        part.send(kRequest.substr(0, 10));
        m_loop->context().run_for(std::chrono::milliseconds(20));
        m_sink->stopping = true;
        m_server->refuseUnfinished("draining");
        part.expect("HTTP/1.1 503");
        part.expect("draining");
    }

private:
    void limitConnections(std::size_t n)
    {
        m_server = std::make_unique<AsioHttpServer>(*m_loop, *m_sink, n);
        CPPUNIT_ASSERT(m_server->start({"127.0.0.1", 0}));
    }

    /** Expects that a request which crossed the close was left unread. */
    void expectReset(RawPeer &peer, ConnectionEndCause cause)
    {
        runUntil(*m_loop, [this] { return !m_sink->ends.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(kConnectionEndCauseNames, cause)),
                             std::string(nameOf(kConnectionEndCauseNames, m_sink->ends[0].cause)));
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(kRequestAtEndNames, RequestAtEnd::Unread)),
                             std::string(nameOf(kRequestAtEndNames, m_sink->ends[0].request)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_sink->requests.size());
        // The reset has arrived, so that the caller can write no more.
        boost::system::error_code ec;
        boost::asio::write(peer.socket, boost::asio::buffer(kNext), ec);
        CPPUNIT_ASSERT(ec == boost::asio::error::broken_pipe ||
                       ec == boost::asio::error::connection_reset);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeptConnectionTest);

} // namespace hawthornslip::test
