#include "tests/support/asio_loopback.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <stdexcept>

namespace hawthornslip::test {

namespace {

constexpr std::size_t kMegabyte = 1 << 20;

} // namespace

/** What similar systems met: upstreams, callers and code that misbehave. */
class MisbehavingPeerTest : public AsioLoopbackFixture
{
    CPPUNIT_TEST_SUITE(MisbehavingPeerTest);
    CPPUNIT_TEST(surplusAnswerOfEarlierRequestIsSkippedAnywhere);
    CPPUNIT_TEST(surplusAnswerOnIdleConnectionClosesIt);
    CPPUNIT_TEST(refusalThatNamesNoRequestIsNoAnswerOnAReusedConnection);
    CPPUNIT_TEST(answerThatNamesNoRequestEndsTheUseOfItsConnection);
    CPPUNIT_TEST(repeatedRequestDoesNotReuseItsConnection);
    CPPUNIT_TEST(bytesOnAnIdleConnectionKeepItFromBeingUsed);
    CPPUNIT_TEST(endlessBytesEndTheCall);
    CPPUNIT_TEST(brokenLineAfterAPartOfTheHeadIsNotWaitedOut);
    CPPUNIT_TEST(answerThatEndsEarlyIsBroken);
    CPPUNIT_TEST(bytesBeyondTheBodyCloseTheConnection);
    CPPUNIT_TEST(connectionIdleForTooLongIsNotUsed);
    CPPUNIT_TEST(oddTimeOfAKeptConnectionDoesNotEndItsUse);
    CPPUNIT_TEST(brokenAnswerWithoutLengthEndsWithReset);
    CPPUNIT_TEST(abortedAnswerInChunksHasNoLastChunk);
    CPPUNIT_TEST(requestThatArrivesDuringTheStopIsAnswered);
    CPPUNIT_TEST(waitingConnectionsAreServedBeforeTheListenerCloses);
    CPPUNIT_TEST(failingHandlerEndsOnlyItsRequest);
    CPPUNIT_TEST(failingTimerKeepsTheOthersRunning);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a crossed answer: the second copy of an answer arrives in pieces while the
    // connection serves the next request, also with a body that looks like an answer.
    void surplusAnswerOfEarlierRequestIsSkippedAnywhere()
    {
        const std::string fake = "HTTP/1.1 200 OK\r\nid: 2\r\nContent-Length: 4\r\n\r\nfake";
        const std::string copy = fmt::format(
                "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: {}\r\n\r\n{}", fake.size(), fake);
        const std::string own = "HTTP/1.1 200 OK\r\nid: 2\r\nContent-Length: 3\r\n\r\nown";
        const std::string all = copy + own;
        for (std::size_t cut = 1; cut < all.size(); cut += 7) {
            auto handler = sendToPeer("1");
            auto &peer = acceptPeer();
            peer.expect("\r\n\r\n");
            peer.send("HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 0\r\n\r\n");
            runUntil(*m_loop, [&] { return handler->ended; });
            handler = sendToPeer("2");
            peer.expect("id: 2");
            peer.send(all.substr(0, cut));
            m_loop->context().run_for(std::chrono::milliseconds(2));
            peer.send(all.substr(cut));
            runUntil(*m_loop, [&] { return handler->ended; });
            CPPUNIT_ASSERT_EQUAL(std::string("own"), handler->body);
            peer.socket.close();
            m_loop->context().run_for(std::chrono::milliseconds(2));
        }
    }

    void surplusAnswerOnIdleConnectionClosesIt()
    {
        const auto handler = sendToPeer("1");
        auto &peer = acceptPeer();
        peer.expect("\r\n\r\n");
        const std::string answer = "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 0\r\n\r\n";
        peer.send(answer);
        runUntil(*m_loop, [&] { return handler->ended; });
        peer.send(answer);
        peer.expectClosed();
        const auto next = sendToPeer("2");
        acceptPeer().expect("id: 2");
        CPPUNIT_ASSERT(!next->ended);
    }

    // Guards against "not run" for a request that runs: an earlier refusal comes once more without
    // its id, before the request is written in full or after it.
    void refusalThatNamesNoRequestIsNoAnswerOnAReusedConnection()
    {
        const std::string own = "HTTP/1.1 503 Full\r\nid: 1\r\nContent-Length: 0\r\n\r\n";
        const std::string copy = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
        for (const bool isWritten : {false, true}) {
            auto handler = sendToPeer("1");
            auto &peer = acceptPeer();
            peer.expect("id: 1");
            peer.send(own);
            runUntil(*m_loop, [&] { return handler->ended; });
            handler = sendToPeer("2", isWritten ? "" : std::string(32 * kMegabyte, 'x'));
            peer.expect("id: 2");
            peer.send(copy);
            runUntil(*m_loop, [&] { return handler->ended; });
            CPPUNIT_ASSERT(handler->end.result == UpstreamResult::Broken);
            CPPUNIT_ASSERT_EQUAL(0, handler->status);
            peer.expectClosed();
        }
    }

    void answerThatNamesNoRequestEndsTheUseOfItsConnection()
    {
        const auto handler = sendToPeer("1");
        auto &peer = acceptPeer();
        peer.expect("id: 1");
        peer.send("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
        runUntil(*m_loop, [&] { return handler->ended; });
        CPPUNIT_ASSERT_EQUAL(503, handler->status);
        CPPUNIT_ASSERT(!handler->end.closing);
        peer.expectClosed();
    }

    // Guards against a copy of a refusal that names the very request which is sent once more.
    void repeatedRequestDoesNotReuseItsConnection()
    {
        const auto handler = sendToPeer("1");
        auto &peer = acceptPeer();
        peer.expect("id: 1");
        peer.send("HTTP/1.1 503 Full\r\nid: 1\r\nContent-Length: 0\r\n\r\n");
        runUntil(*m_loop, [&] { return handler->ended; });
        const auto again = sendToPeer("1");
        acceptPeer().expect("id: 1");
        peer.expectClosed();
        CPPUNIT_ASSERT(!again->ended);
    }

    // Guards against a request that is lost on a connection whose next bytes are no answer to it.
    void bytesOnAnIdleConnectionKeepItFromBeingUsed()
    {
        for (const bool isClosed : {false, true}) {
            auto handler = sendToPeer("1");
            auto &peer = acceptPeer();
            peer.expect("id: 1");
            peer.send("HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 0\r\n\r\n");
            runUntil(*m_loop, [&] { return handler->ended; });
            // The loop does not run in between, so it has not noticed the bytes or the end.
            if (isClosed)
                peer.socket.close();
            else
                peer.send("no answer");
            handler = sendToPeer("2");
            acceptPeer().expect("id: 2");
            CPPUNIT_ASSERT(!handler->ended);
        }
    }

    // Guards against memory and time spent on an upstream that sends bytes without end which are no
    // answer, until the request's own time limit.
    void endlessBytesEndTheCall()
    {
        const std::string chunked =
                "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::vector<std::pair<std::string, std::string>> cases = {
                {"", "x"},
                {"HTTP/1.1 200 OK\r\n", "X-Header: value\r\n"},
                {"HTTP/1.1 200 OK\r\nX: ", "a"},
                {"", "HTTP/1.1 100 Continue\r\n\r\n"},
                {"", "HTTP/1.1 200 OK\r\nid: 0\r\nContent-Length: 0\r\n\r\n"},
                {"HTTP/1.1 200 OK\r\nid: 0\r\n\r\n", "x"},
                {chunked + "5;ext=", "a"},
                {chunked + "0", "0"},
                {chunked + "1\r\na\r\n0\r\n", "Trailer: value\r\n"},
        };
        for (const auto &[start, repeated] : cases) {
            const auto handler = sendToPeer("1");
            auto &peer = acceptPeer();
            peer.expect("\r\n\r\n");
            std::string bytes;
            while (bytes.size() < 4 * kMegabyte)
                bytes += repeated;
            boost::system::error_code ec;
            peer.send(start);
            boost::asio::async_write(peer.socket, boost::asio::buffer(bytes),
                                     [](const boost::system::error_code &, std::size_t) {});
            runUntil(*m_loop, [&] { return handler->ended || peer.closed; });
            CPPUNIT_ASSERT_MESSAGE(start + repeated, handler->ended);
            CPPUNIT_ASSERT_MESSAGE(start + repeated, handler->end.result == UpstreamResult::Broken);
            peer.socket.close(ec);
            m_loop->context().run_for(std::chrono::milliseconds(2));
        }
    }

    // Guards against a parser that looks at an unfinished head once and then only for its end.
    void brokenLineAfterAPartOfTheHeadIsNotWaitedOut()
    {
        const std::string begin = "HTTP/1.1 200 OK\r\nX-First: 1\r\nX-Second";
        for (const std::string rest : {" : 1\r\n", ": 2\r\nX Third: 3\r\n", ": 2\r\nX\x01",
                                       ": 2\x01", ": 2\r\nContent-Length: x\r\nX"}) {
            const auto handler = sendToPeer("1");
            auto &peer = acceptPeer();
            peer.expect("\r\n\r\n");
            peer.send(begin);
            m_loop->context().poll();
            peer.send(rest);
            runUntil(*m_loop, [&] { return handler->ended; });
            CPPUNIT_ASSERT_MESSAGE(rest, handler->end.result == UpstreamResult::Broken);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(rest, 0, handler->status);
        }
    }

    // Guards against an answer that its upstream broke off at any byte, and that reaches the caller
    // as a whole one.
    void answerThatEndsEarlyIsBroken()
    {
        const std::vector<std::string> answers = {
                "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: "
                "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nid: 1\r\nConnection: close\r\n\r\n"};
        for (const auto &whole : answers) {
            for (std::size_t n = 1; n < whole.size(); ++n) {
                const auto handler = sendToPeer("1");
                auto &peer = acceptPeer();
                peer.expect("\r\n\r\n");
                peer.send(whole.substr(0, n));
                peer.socket.close();
                runUntil(*m_loop, [&] { return handler->ended; });
                CPPUNIT_ASSERT_MESSAGE(whole.substr(0, n),
                                       handler->end.result == UpstreamResult::Broken);
            }
        }
    }

    void bytesBeyondTheBodyCloseTheConnection()
    {
        const auto handler = sendToPeer("1");
        auto &peer = acceptPeer();
        peer.expect("\r\n\r\n");
        peer.send("HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 2\r\n\r\nokmore");
        runUntil(*m_loop, [&] { return handler->ended; });
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), handler->body);
        CPPUNIT_ASSERT(handler->end.result == UpstreamResult::Complete);
        peer.expectClosed();
    }

    // Guards against a call on a connection that was cut without notice while it was idle.
    void connectionIdleForTooLongIsNotUsed()
    {
        auto handler = sendToPeer("1");
        auto &first = acceptPeer();
        first.expect("\r\n\r\n");
        first.send("HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 0\r\n\r\n");
        runUntil(*m_loop, [&] { return handler->ended; });
        m_loop->context().run_for(std::chrono::milliseconds(30));
        UpstreamRequest request;
        request.method = "GET";
        request.url = fmt::format("http://127.0.0.1:{}/", m_acceptor->local_endpoint().port());
        request.reuseWithin = milliseconds(20);
        m_client->send(request, std::make_shared<RecordingHandler>());
        acceptPeer().expect("GET / HTTP/1.1");
        first.expectClosed();
    }

    // Guards against a time that overflows, and against connections that are never used again.
    void oddTimeOfAKeptConnectionDoesNotEndItsUse()
    {
        for (const std::string time : {"9223372036854775807", "-1", "99999999999999999999", "x"}) {
            auto handler = sendToPeer("1");
            auto &peer = acceptPeer();
            peer.expect("id: 1");
            peer.send("HTTP/1.1 200 OK\r\nid: 1\r\nKeep-Alive: timeout=" + time +
                      "\r\nContent-Length: 0\r\n\r\n");
            runUntil(*m_loop, [&] { return handler->ended; });
            handler = sendToPeer("2");
            peer.expect("id: 2");
            peer.socket.close();
            runUntil(*m_loop, [&] { return handler->ended; });
        }
    }

    // Guards against a broken-off answer that looks complete to a caller of HTTP/1.0, whose answers
    // end with the connection.
    void brokenAnswerWithoutLengthEndsWithReset()
    {
        m_sink->answer = nullptr;
        for (const bool isComplete : {false, true}) {
            auto &peer = connectPeer();
            const auto before = m_sink->writers.size();
            peer.send("GET / HTTP/1.0\r\nHost: x\r\n\r\n");
            runUntil(*m_loop, [&] { return m_sink->writers.size() > before; });
            auto &writer = *m_sink->writers.back();
            writer.begin(200, {}, std::nullopt);
            writer.write("part");
            peer.expect("part");
            if (isComplete)
                writer.end();
            else
                writer.abort();
            peer.expectClosed();
            CPPUNIT_ASSERT_EQUAL(!isComplete, peer.wasReset);
        }
    }

    void abortedAnswerInChunksHasNoLastChunk()
    {
        m_sink->answer = nullptr;
        auto &peer = connectPeer();
        peer.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        runUntil(*m_loop, [&] { return !m_sink->writers.empty(); });
        auto &writer = *m_sink->writers.back();
        writer.begin(200, {}, std::nullopt);
        writer.write("part");
        peer.expect("part\r\n");
        writer.abort();
        writer.write("more");
        writer.end();
        peer.expectClosed();
        CPPUNIT_ASSERT(peer.received.ends_with("4\r\npart\r\n"));
    }

    // Guards against requests that are cut off without an answer because they arrive, whole or in
    // part, just when the server closes its idle connections.
    void requestThatArrivesDuringTheStopIsAnswered()
    {
        auto &whole = connectPeer();
        auto &part = connectPeer();
        auto &idle = connectPeer();
        part.send("GET /part HTTP/1.1\r\nHo");
        runUntil(*m_loop, [this] { return m_server->connections() == 3; });
        m_loop->context().run_for(std::chrono::milliseconds(20));
        m_sink->stopping = true;
        // Not yet read when the idle connections are closed.
        whole.send("GET /whole HTTP/1.1\r\nHost: x\r\n\r\n");
        m_server->stopAccepting();
        m_server->closeIdle();
        part.send("st: x\r\n\r\n");
        whole.expect("X-Path: /whole");
        part.expect("X-Path: /part");
        part.expect("Connection: close");
        idle.expectClosed();
        whole.expectClosed();
        part.expectClosed();
    }

    // Guards against connections that the system accepted, but the server did not take yet, being
    // reset when it stops listening.
    void waitingConnectionsAreServedBeforeTheListenerCloses()
    {
        constexpr int kConnections = 20;
        std::vector<RawPeer *> peers;
        for (int i = 0; i < kConnections; ++i) {
            peers.push_back(&connectPeer());
            peers.back()->send("GET /late HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        m_sink->stopping = true;
        m_server->stopAccepting();
        m_server->closeIdle();
        for (auto *it : peers)
            it->expect("X-Path: /late");
    }

    // Guards against a process that goes down because of an unexpected error in one request.
    void failingHandlerEndsOnlyItsRequest()
    {
        m_sink->answer = [](const HttpRequest &request, ResponseWriter &writer) {
            if (request.path == "/fails")
                throw std::runtime_error("unexpected");
            answerOk(request, writer);
        };
        auto &failing = connectPeer();
        failing.send("GET /fails HTTP/1.1\r\nHost: x\r\n\r\n");
        failing.expectClosed();
        CPPUNIT_ASSERT(failing.received.find(" 200 ") == std::string::npos);
        CPPUNIT_ASSERT(failing.received.starts_with("HTTP/1.1 500 "));
        CPPUNIT_ASSERT(failing.received.find("may_have_run") != std::string::npos);
        auto &sound = connectPeer();
        sound.send("GET /sound HTTP/1.1\r\nHost: x\r\n\r\n");
        sound.expect("X-Path: /sound");

        struct FailingHandler : public RecordingHandler
        {
            bool onData(std::string_view) override { throw std::runtime_error("unexpected"); }
        };
        const auto handler = std::make_shared<FailingHandler>();
        UpstreamRequest request;
        request.url = fmt::format("http://127.0.0.1:{}/body", m_server->port());
        request.headers = {{"Host", "x"}};
        request.body = "body";
        m_client->send(request, handler);
        runUntil(*m_loop, [&] { return handler->ended; });
        CPPUNIT_ASSERT(handler->end.result == UpstreamResult::Broken);
    }

    void failingTimerKeepsTheOthersRunning()
    {
        bool ran = false;
        m_loop->after(milliseconds(1), [] { throw std::runtime_error("unexpected"); });
        m_loop->after(milliseconds(2), [&ran] { ran = true; });
        runUntil(*m_loop, [&ran] { return ran; });
        bool ranLater = false;
        m_loop->after(milliseconds(1), [&ranLater] { ranLater = true; });
        runUntil(*m_loop, [&ranLater] { return ranLater; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MisbehavingPeerTest);

} // namespace hawthornslip::test
