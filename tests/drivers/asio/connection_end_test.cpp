#include "tests/support/asio_loopback.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace hawthornslip::test {

namespace {

const std::string kRequest = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

/** How the ends of callers' connections are told to the operator. */
class ConnectionEndTest : public AsioLoopbackFixture
{
    CPPUNIT_TEST_SUITE(ConnectionEndTest);
    CPPUNIT_TEST(endAfterAnAnswerIsNoLoss);
    CPPUNIT_TEST(brokenAnswerIsCounted);
    CPPUNIT_TEST(openRequestAtTheEndOfTheListenerIsCounted);
    CPPUNIT_TEST(callerThatLeavesIsNoLossOfOurs);
    CPPUNIT_TEST(refusedInputIsNoLoss);
    CPPUNIT_TEST(bytesAfterTheLastAnswerAreCountedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void endAfterAnAnswerIsNoLoss()
    {
        auto &peer = connectPeer();
        peer.send("GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        peer.expectClosed();
        peer.socket.close();
        expectEnd(ConnectionEndCause::LastAnswer, RequestAtEnd::None, false);
    }

    // Guards against a broken answer that only its caller knows of.
    void brokenAnswerIsCounted()
    {
        m_sink->answer = nullptr;
        connectPeer().send(kRequest);
        runUntil(*m_loop, [this] { return !m_sink->writers.empty(); });
        auto &writer = *m_sink->writers.back();
        writer.begin(200, {}, std::nullopt);
        writer.write("part");
        writer.abort();
        expectEnd(ConnectionEndCause::AnswerBroken, RequestAtEnd::PartlyAnswered, true);
    }

    // Guards against requests that a stopping process takes along without a word.
    void openRequestAtTheEndOfTheListenerIsCounted()
    {
        m_sink->answer = nullptr;
        connectPeer().send(kRequest);
        runUntil(*m_loop, [this] { return !m_sink->writers.empty(); });
        m_server.reset();
        expectEnd(ConnectionEndCause::ListenerClosed, RequestAtEnd::Unanswered, true);
    }

    void callerThatLeavesIsNoLossOfOurs()
    {
        m_sink->answer = nullptr;
        auto &peer = connectPeer();
        peer.send(kRequest);
        runUntil(*m_loop, [this] { return !m_sink->writers.empty(); });
        peer.socket.close();
        expectEnd(ConnectionEndCause::CallerClosed, RequestAtEnd::Unanswered, false);
    }

    void refusedInputIsNoLoss()
    {
        auto &peer = connectPeer();
        peer.send("nonsense\r\n\r\n");
        peer.expectClosed();
        peer.socket.close();
        expectEnd(ConnectionEndCause::InputRefused, RequestAtEnd::Partial, false);
    }

    void bytesAfterTheLastAnswerAreCountedOnce()
    {
        m_sink->answer = nullptr;
        auto &peer = connectPeer();
        peer.send("GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        runUntil(*m_loop, [this] { return !m_sink->writers.empty(); });
        // In the socket when the answer ends.
        peer.send(kRequest);
        answerOk(m_sink->requests[0], *m_sink->writers[0]);
        peer.expectClosed();
        peer.socket.close();
        expectEnd(ConnectionEndCause::LastAnswer, RequestAtEnd::Following, true);
        CPPUNIT_ASSERT_EQUAL(kRequest.size(), m_sink->ends[0].bytes);
    }

private:
    void expectEnd(ConnectionEndCause cause, RequestAtEnd request, bool isWithout)
    {
        runUntil(*m_loop, [this] { return !m_sink->ends.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_sink->ends.size());
        const ConnectionEnd &end = m_sink->ends.front();
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(kConnectionEndCauseNames, cause)),
                             std::string(nameOf(kConnectionEndCauseNames, end.cause)));
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(kRequestAtEndNames, request)),
                             std::string(nameOf(kRequestAtEndNames, end.request)));
        CPPUNIT_ASSERT_EQUAL(isWithout, isWithoutAnswer(end));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionEndTest);

} // namespace hawthornslip::test
