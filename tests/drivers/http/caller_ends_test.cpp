#include "drivers/http/ulfius_http_server.h"
#include "tests/support/raw_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace hawthornslip {

using test::RawConnection;

namespace {

using Link = std::shared_ptr<HttpClientConnection>;

const std::string kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/** A stream with one piece that cannot be completed. */
class BrokenSource : public HttpBodySource
{
public:
    HttpBodyRead read(char *room, std::size_t /*size*/) override
    {
        if (std::exchange(m_isBegun, true))
            return {HttpBodyRead::State::Broken, 0};
        *room = 'x';
        return {HttpBodyRead::State::More, 1};
    }

private:
    bool m_isBegun = false;
};

/** Collects the ends that a listener reports. */
class Ends
{
public:
    void add(const ConnectionEnd &end)
    {
        const std::lock_guard lock(m_mutex);
        m_ends.push_back(end);
        m_changed.notify_all();
    }

    /** Waits for the first end. */
    ConnectionEnd first()
    {
        std::unique_lock lock(m_mutex);
        const auto arrived = [this] { return !m_ends.empty(); };
        CPPUNIT_ASSERT(m_changed.wait_for(lock, std::chrono::seconds(10), arrived));
        return m_ends.front();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<ConnectionEnd> m_ends;
};

/** @return a connection from @p from, which another connection may have used before. */
RawConnection connectFrom(std::uint16_t from, std::uint16_t to)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(from);
    CPPUNIT_ASSERT(bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
    address.sin_port = htons(to);
    CPPUNIT_ASSERT(connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
    return RawConnection(socket);
}

} // namespace

/** What callers and operators learn when the ulfius listener ends a connection. */
class CallerEndsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerEndsTest);
    CPPUNIT_TEST(answerNamesHowLongItsConnectionIsKept);
    CPPUNIT_TEST(lastAnswerPromisesNothing);
    CPPUNIT_TEST(portThatIsUsedAgainLeavesNoRequestActive);
    CPPUNIT_TEST(endAfterAnAnswerIsNoLoss);
    CPPUNIT_TEST(idleConnectionIsNoLoss);
    CPPUNIT_TEST(unfinishedRequestAtTheIdleTimeoutIsCounted);
    CPPUNIT_TEST(openRequestAtTheEndOfTheGraceIsCounted);
    CPPUNIT_TEST(idleConnectionAtTheStopIsNoLoss);
    CPPUNIT_TEST(brokenStreamIsCounted);
    CPPUNIT_TEST(callerThatLeavesIsNoLossOfOurs);
    CPPUNIT_TEST(refusedInputIsNoLoss);
    CPPUNIT_TEST(connectionBeyondAllLimitsIsCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against callers that reuse a connection for longer than it is kept.
    void answerNamesHowLongItsConnectionIsKept()
    {
        start(seconds(30));
        auto client = connect();
        client.send(kRequest);
        const auto answer = client.readMessage();
        CPPUNIT_ASSERT(answer.find("Keep-Alive: timeout=24\r\n") != std::string::npos);
        client.send("GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(client.readMessage().find("Keep-Alive: timeout=24\r\n") !=
                       std::string::npos);
    }

    void lastAnswerPromisesNothing()
    {
        start(seconds(30));
        for (const std::string last : {"1.1\r\nHost: h\r\nConnection: close", "1.0\r\nHost: h"}) {
            auto client = connect();
            client.send("GET /a HTTP/" + last + "\r\n\r\n");
            const auto answer = client.readAll();
            CPPUNIT_ASSERT(answer.ends_with("ok"));
            CPPUNIT_ASSERT(answer.find("timeout=") == std::string::npos);
        }
    }

    // Guards against a stop that waits for ever for a request that has ended.
    void portThatIsUsedAgainLeavesNoRequestActive()
    {
        start(seconds(30));
        const std::uint16_t port = test::RawServer::closedPort();
        auto first = connectFrom(port, m_server->port());
        first.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
        m_waiting.get_future().wait();
        first.reset();
        auto second = connectFrom(port, m_server->port());
        second.send(kRequest);
        CPPUNIT_ASSERT(second.readMessage().ends_with("ok"));
        m_release.set_value();
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (m_server->activeRequests() > 0 && std::chrono::steady_clock::now() < deadline)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_server->activeRequests());
    }

    void endAfterAnAnswerIsNoLoss()
    {
        start(seconds(30));
        auto client = connect();
        client.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        client.readAll();
        expectEnd(ConnectionEndCause::LastAnswer, RequestAtEnd::None, false);
    }

    void idleConnectionIsNoLoss()
    {
        start(seconds(1));
        auto client = connect();
        client.send(kRequest);
        client.readMessage();
        expectEnd(ConnectionEndCause::IdleTimeout, RequestAtEnd::None, false);
    }

    // Guards against a request that ends without an answer and is in no log.
    void unfinishedRequestAtTheIdleTimeoutIsCounted()
    {
        start(seconds(1));
        auto client = connect();
        client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
        expectEnd(ConnectionEndCause::IdleTimeout, RequestAtEnd::Partial, true);
    }

    // Guards against requests that a stopping process takes along without a word.
    void openRequestAtTheEndOfTheGraceIsCounted()
    {
        start(seconds(30));
        auto client = connect();
        client.send("GET /left HTTP/1.1\r\nHost: h\r\n\r\n");
        m_waiting.get_future().wait();
        m_server->stop(Duration(0));
        expectEnd(ConnectionEndCause::ListenerClosed, RequestAtEnd::Unanswered, true);
    }

    void idleConnectionAtTheStopIsNoLoss()
    {
        start(seconds(30));
        auto client = connect();
        client.send(kRequest);
        client.readMessage();
        m_server->stop(Duration(0));
        expectEnd(ConnectionEndCause::Stopping, RequestAtEnd::None, false);
    }

    // Guards against a broken answer that only its caller knows of.
    void brokenStreamIsCounted()
    {
        start(seconds(30));
        auto client = connect();
        client.send("GET /broken HTTP/1.1\r\nHost: h\r\n\r\n");
        expectEnd(ConnectionEndCause::AnswerBroken, RequestAtEnd::PartlyAnswered, true);
    }

    void callerThatLeavesIsNoLossOfOurs()
    {
        start(seconds(30));
        auto client = connect();
        client.send("GET /left HTTP/1.1\r\nHost: h\r\n\r\n");
        m_waiting.get_future().wait();
        client.reset();
        const ConnectionEnd end = m_ends.first();
        CPPUNIT_ASSERT(!isWithoutAnswer(end));
        CPPUNIT_ASSERT(end.request != RequestAtEnd::None);
    }

    void refusedInputIsNoLoss()
    {
        start(seconds(30));
        auto client = connect();
        client.send("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n");
        CPPUNIT_ASSERT(client.readAll().starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT(!isWithoutAnswer(m_ends.first()));
    }

    // Guards against connections that are closed without an answer and are in no counter.
    void connectionBeyondAllLimitsIsCounted()
    {
        constexpr std::size_t kServedOrRefused = 65;
        start(seconds(30), 1);
        std::vector<RawConnection> clients;
        for (std::size_t i = 0; i < kServedOrRefused; ++i)
            clients.push_back(connect());
        const auto last = connect();
        CPPUNIT_ASSERT(last.waitClosed());
        expectEnd(ConnectionEndCause::TooManyConnections, RequestAtEnd::Unread, true);
    }

private:
    void start(Duration idle, std::uint32_t maxConnections = 1000)
    {
        HttpServerSettings settings;
        settings.idleTimeout = idle;
        settings.maxConnections = maxConnections;
        m_server = std::make_unique<UlfiusHttpServer>(settings);
        m_server->route("*", "/a", [](const HttpRequest &, const Link &) { return text("ok"); });
        m_server->route("GET", "/wait", [this](const HttpRequest &, const Link &) {
            m_waiting.set_value();
            m_release.get_future().wait();
            return text("late");
        });
        m_server->route("GET", "/left", [this](const HttpRequest &, const Link &link) {
            m_waiting.set_value();
            link->wait(seconds(10));
            return text("late");
        });
        m_server->route("GET", "/broken", [](const HttpRequest &, const Link &) {
            HttpResponse answer;
            answer.stream = std::make_unique<BrokenSource>();
            return answer;
        });
        m_server->onConnectionEnd([this](const ConnectionEnd &end) { m_ends.add(end); });
        CPPUNIT_ASSERT(m_server->start());
    }

    RawConnection connect() const { return RawConnection::connectTo(m_server->port()); }

    static HttpResponse text(std::string body)
    {
        HttpResponse answer;
        answer.body = std::move(body);
        return answer;
    }

    void expectEnd(ConnectionEndCause cause, RequestAtEnd request, bool isWithout)
    {
        const ConnectionEnd end = m_ends.first();
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(kConnectionEndCauseNames, cause)),
                             std::string(nameOf(kConnectionEndCauseNames, end.cause)));
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(kRequestAtEndNames, request)),
                             std::string(nameOf(kRequestAtEndNames, end.request)));
        CPPUNIT_ASSERT_EQUAL(isWithout, isWithoutAnswer(end));
    }

    std::promise<void> m_waiting;
    std::promise<void> m_release;
    Ends m_ends;
    std::unique_ptr<UlfiusHttpServer> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerEndsTest);

} // namespace hawthornslip
