#include "drivers/http/ulfius_http_server.h"
#include "tests/support/raw_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <thread>

namespace hawthornslip {

using test::RawConnection;

namespace {

using Link = std::shared_ptr<HttpClientConnection>;

const std::string kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

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
    CPPUNIT_TEST(portThatIsUsedAgainLeavesNoRequestActive);
    CPPUNIT_TEST_SUITE_END();

public:
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

private:
    void start(Duration idle)
    {
        HttpServerSettings settings;
        settings.idleTimeout = idle;
        m_server = std::make_unique<UlfiusHttpServer>(settings);
        m_server->route("*", "/a", [](const HttpRequest &, const Link &) { return text("ok"); });
        m_server->route("GET", "/wait", [this](const HttpRequest &, const Link &) {
            m_waiting.set_value();
            m_release.get_future().wait();
            return text("late");
        });
        CPPUNIT_ASSERT(m_server->start());
    }

    RawConnection connect() const { return RawConnection::connectTo(m_server->port()); }

    static HttpResponse text(std::string body)
    {
        HttpResponse answer;
        answer.body = std::move(body);
        return answer;
    }

    std::promise<void> m_waiting;
    std::promise<void> m_release;
    std::unique_ptr<UlfiusHttpServer> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerEndsTest);

} // namespace hawthornslip
