#include "drivers/http/ulfius_http_server.h"
#include "tests/support/raw_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <mutex>

namespace hawthornslip {

using test::RawConnection;

namespace {

using Link = std::shared_ptr<HttpClientConnection>;

HttpResponse text(std::string body)
{
    HttpResponse answer;
    answer.body = std::move(body);
    return answer;
}

/** Streams pieces from a function. */
class FunctionSource : public HttpBodySource
{
public:
    explicit FunctionSource(std::function<std::optional<std::string>()> next,
                            std::promise<void> *freed = nullptr)
        : m_next(std::move(next))
        , m_freed(freed)
    {}
    ~FunctionSource() override
    {
        if (m_freed != nullptr)
            m_freed->set_value();
    }
    HttpBodyRead read(char *room, std::size_t size) override
    {
        const auto piece = m_next();
        if (!piece)
            return {HttpBodyRead::State::End, 0};
        CPPUNIT_ASSERT(piece->size() <= size);
        piece->copy(room, piece->size());
        return {HttpBodyRead::State::More, piece->size()};
    }

private:
    std::function<std::optional<std::string>()> m_next;
    std::promise<void> *m_freed;
};

} // namespace

/** The ulfius listener with plain sockets as clients. */
class UlfiusHttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UlfiusHttpServerTest);
    CPPUNIT_TEST(requestArrivesAsSent);
    CPPUNIT_TEST(routesAndMethodsAreMatched);
    CPPUNIT_TEST(boundsAreKept);
    CPPUNIT_TEST(connectionsAboveTheBoundGetAnAnswer);
    CPPUNIT_TEST(streamedPiecesArriveAtOnce);
    CPPUNIT_TEST(clientThatLeavesIsNoticedWhileWaiting);
    CPPUNIT_TEST(wakeEndsTheWait);
    CPPUNIT_TEST(sourceIsFreedWhenTheClientLeaves);
    CPPUNIT_TEST(stopWaitsForTheLastAnswer);
    CPPUNIT_TEST(slowAnswerOutlivesTheIdleTimeout);
    CPPUNIT_TEST(handlerThatThrowsIsAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bodies, queries or headers that the listener changes.
    void requestArrivesAsSent()
    {
        HttpRequest seen;
        UlfiusHttpServer server(settings());
        server.route("*", "/a/", [&](HttpRequest request, const Link &) {
            seen = std::move(request);
            auto answer = text("done");
            answer.status = 202;
            answer.headers = {{"X-Answer", "1"}};
            return answer;
        });
        CPPUNIT_ASSERT(server.start());
        auto client = RawConnection::connectTo(server.port());
        const std::string body("a=1&b=\0%41", 10);
        client.send(
                "PATCH /a/%2e/b?x=%20&y HTTP/1.1\r\nHost: h\r\nX-Test: One\r\n"
                "Content-Type: application/x-www-form-urlencoded\r\nContent-Length: 10\r\n\r\n" +
                body);
        const auto answer = client.readMessage();
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 202"));
        CPPUNIT_ASSERT(answer.find("X-Answer: 1") != std::string::npos);
        CPPUNIT_ASSERT(answer.ends_with("done"));
        CPPUNIT_ASSERT_EQUAL(std::string("PATCH"), seen.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/%2e/b"), seen.path);
        CPPUNIT_ASSERT_EQUAL(std::string("x=%20&y"), seen.query);
        CPPUNIT_ASSERT_EQUAL(std::string("One"), *seen.header("x-test"));
        CPPUNIT_ASSERT(seen.body == body);
        CPPUNIT_ASSERT(seen.clientAddress.starts_with("127.0.0.1:"));
    }

    // Guards against a request that reaches the wrong handler.
    void routesAndMethodsAreMatched()
    {
        UlfiusHttpServer server(settings());
        server.route("GET", "/a", [](HttpRequest, const Link &) { return text("exact"); });
        server.route("GET", "/a/", [](HttpRequest, const Link &) { return text("prefix"); });
        server.route("GET", "/a/b/", [](HttpRequest, const Link &) { return text("longer"); });
        server.start();
        CPPUNIT_ASSERT(get(server, "GET /a").ends_with("exact"));
        CPPUNIT_ASSERT(get(server, "GET /a/x").ends_with("prefix"));
        CPPUNIT_ASSERT(get(server, "GET /a/b/x").ends_with("longer"));
        CPPUNIT_ASSERT(get(server, "GET /ab").starts_with("HTTP/1.1 404"));
        CPPUNIT_ASSERT(get(server, "DELETE /a").starts_with("HTTP/1.1 405"));
    }

    // Guards against requests that fill the memory of a small VM.
    void boundsAreKept()
    {
        auto bounds = settings();
        bounds.maxBodyBytes = 10;
        bounds.maxHeaderBytes = 1000;
        UlfiusHttpServer server(bounds);
        server.route("*", "/a", [](HttpRequest request, const Link &) {
            return text(std::to_string(request.body.size()));
        });
        server.start();
        CPPUNIT_ASSERT(post(server, std::string(10, 'x')).ends_with("10"));
        CPPUNIT_ASSERT(post(server, std::string(11, 'x')).starts_with("HTTP/1.1 413"));
        CPPUNIT_ASSERT(post(server, std::string(100000, 'x')).starts_with("HTTP/1.1 413"));
        const std::string name = "\r\nX-Big: ";
        CPPUNIT_ASSERT(
                get(server, "GET /a", name + std::string(2000, 'x')).starts_with("HTTP/1.1 431"));
        CPPUNIT_ASSERT(
                get(server, "GET /a", name + std::string(90000, 'x')).starts_with("HTTP/1.1 431"));
    }

    // Guards against callers that wait without an answer when the node has no thread for them.
    void connectionsAboveTheBoundGetAnAnswer()
    {
        auto bounds = settings();
        bounds.maxConnections = 1;
        UlfiusHttpServer server(bounds);
        server.route("GET", "/a", [](HttpRequest, const Link &) { return text("ok"); });
        server.start();
        auto first = RawConnection::connectTo(server.port());
        first.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(first.readMessage().ends_with("ok"));
        CPPUNIT_ASSERT(get(server, "GET /a").starts_with("HTTP/1.1 503"));
        first.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(!first.readMessage().empty());
    }

    // Guards against pieces that are held back until a buffer is full.
    void streamedPiecesArriveAtOnce()
    {
        std::promise<void> goOn;
        int n = 0;
        UlfiusHttpServer server(settings());
        server.route("GET", "/a", [&](HttpRequest, const Link &) {
            HttpResponse answer;
            answer.stream = std::make_unique<FunctionSource>([&]() -> std::optional<std::string> {
                if (++n == 2)
                    goOn.get_future().wait();
                return n <= 2 ? std::optional("piece" + std::to_string(n)) : std::nullopt;
            });
            return answer;
        });
        server.start();
        auto client = RawConnection::connectTo(server.port());
        client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(client.readUntil("piece1").ends_with("piece1"));
        goOn.set_value();
        CPPUNIT_ASSERT(client.readUntil("0\r\n\r\n").find("piece2") != std::string::npos);
    }

    // Guards against work for a caller that left while its request was queued.
    void clientThatLeavesIsNoticedWhileWaiting()
    {
        std::promise<void> waiting;
        std::promise<bool> present;
        UlfiusHttpServer server(settings());
        server.route("GET", "/a", [&](HttpRequest, const Link &link) {
            waiting.set_value();
            present.set_value(link->wait(seconds(10)));
            return text("");
        });
        server.start();
        auto client = RawConnection::connectTo(server.port());
        client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        waiting.get_future().wait();
        client.close();
        CPPUNIT_ASSERT(!present.get_future().get());
    }

    // Guards against a wake that comes just before the wait and is lost.
    void wakeEndsTheWait()
    {
        std::promise<bool> present;
        UlfiusHttpServer server(settings());
        server.route("GET", "/a", [&](HttpRequest, const Link &link) {
            link->wake();
            bool result = link->wait(seconds(3600));
            std::thread other([&] { link->wake(); });
            result = link->wait(seconds(3600)) && result;
            other.join();
            present.set_value(result);
            return text("ok");
        });
        server.start();
        CPPUNIT_ASSERT(get(server, "GET /a").ends_with("ok"));
        CPPUNIT_ASSERT(present.get_future().get());
    }

    // Guards against a stream that goes on after its caller left.
    void sourceIsFreedWhenTheClientLeaves()
    {
        std::promise<void> freed;
        UlfiusHttpServer server(settings());
        server.route("GET", "/a", [&](HttpRequest, const Link &) {
            HttpResponse answer;
            answer.stream = std::make_unique<FunctionSource>(
                    [] { return std::optional(std::string(1000, 'x')); }, &freed);
            return answer;
        });
        server.start();
        auto client = RawConnection::connectTo(server.port());
        client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        client.readUntil("xxx");
        client.reset();
        const auto wait = freed.get_future().wait_for(std::chrono::seconds(10));
        CPPUNIT_ASSERT(wait == std::future_status::ready);
    }

    // Guards I7: a planned stop cuts no answer, and takes no new connection.
    void stopWaitsForTheLastAnswer()
    {
        std::promise<void> started;
        int n = 0;
        UlfiusHttpServer server(settings());
        server.route("GET", "/a", [&](HttpRequest, const Link &link) {
            HttpResponse answer;
            answer.stream =
                    std::make_unique<FunctionSource>([&, link]() -> std::optional<std::string> {
                        if (++n > 1)
                            return std::nullopt;
                        started.set_value();
                        // A stop that does not wait closes the socket, which ends this wait.
                        return link->wait(milliseconds(300)) ? "last" : "cut";
                    });
            return answer;
        });
        server.start();
        auto client = RawConnection::connectTo(server.port());
        client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        started.get_future().wait();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.activeRequests());
        server.stopAccepting();
        CPPUNIT_ASSERT(!RawConnection::connectTo(server.port()).open());
        server.stop(seconds(10));
        const auto answer = client.readAll();
        CPPUNIT_ASSERT(answer.find("last") != std::string::npos);
        CPPUNIT_ASSERT(answer.ends_with("0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.activeRequests());
    }

    // Guards against an answer that is cut because it took longer than clients may be idle.
    void slowAnswerOutlivesTheIdleTimeout()
    {
        constexpr auto kLongerThanIdle = milliseconds(2200);
        auto bounds = settings();
        bounds.idleTimeout = seconds(1);
        UlfiusHttpServer server(bounds);
        server.route("GET", "/whole", [&](HttpRequest, const Link &link) {
            link->wait(kLongerThanIdle);
            return text("whole");
        });
        server.route("GET", "/stream", [&](HttpRequest, const Link &link) {
            HttpResponse answer;
            answer.stream = std::make_unique<FunctionSource>(
                    [&, link, n = 0]() mutable -> std::optional<std::string> {
                        link->wait(kLongerThanIdle);
                        return ++n == 1 ? std::optional<std::string>("piece") : std::nullopt;
                    });
            return answer;
        });
        server.start();
        CPPUNIT_ASSERT(get(server, "GET /whole").ends_with("whole"));
        auto client = RawConnection::connectTo(server.port());
        client.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(client.readUntil("0\r\n\r\n").ends_with("0\r\n\r\n"));
        CPPUNIT_ASSERT(client.waitClosed());
    }

    // Guards against an exception that leaves the listener's C code.
    void handlerThatThrowsIsAnswered()
    {
        UlfiusHttpServer server(settings());
        server.route("GET", "/a", [](HttpRequest, const Link &) -> HttpResponse {
            throw std::runtime_error("x");
        });
        server.start();
        CPPUNIT_ASSERT(get(server, "GET /a").starts_with("HTTP/1.1 500"));
    }

private:
    static HttpServerSettings settings()
    {
        HttpServerSettings it;
        it.idleTimeout = seconds(30);
        return it;
    }

    static std::string get(const UlfiusHttpServer &server, const std::string &line,
                           const std::string &headers = "")
    {
        auto client = RawConnection::connectTo(server.port());
        client.send(line + " HTTP/1.1\r\nHost: h" + headers + "\r\n\r\n");
        return client.readMessage();
    }

    static std::string post(const UlfiusHttpServer &server, const std::string &body)
    {
        auto client = RawConnection::connectTo(server.port());
        client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
        return client.readMessage();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UlfiusHttpServerTest);

} // namespace hawthornslip
