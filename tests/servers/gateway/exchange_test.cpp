#include "tests/support/gateway_fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <deque>
#include <tuple>

namespace hawthornslip::test {

namespace {

constexpr std::string_view kTwoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::vector<std::pair<std::string, bool>> kRepeatable = {
        {"/order/1", false}, {"/read/1", true}, {"/chat/1", false}, {"/draft/1", true}};
const HttpHeaders kProvenStream = {{"proof", "1"}, {"content-type", "text/event-stream"}};

/** Records the calls to upstreams, so that a test can answer them. */
class ScriptedClient : public UpstreamClient
{
public:
    struct Call : public UpstreamCall
    {
        UpstreamRequest request;
        std::shared_ptr<UpstreamHandler> handler;
        bool cancelled = false;

        void cancel() override { cancelled = true; }
        void resume() override {}
        /** Delivers a complete answer. */
        void answer(int status, const HttpHeaders &headers, std::string_view body)
        {
            handler->onHeaders(status, headers);
            if (!body.empty())
                handler->onData(body);
            end(UpstreamResult::Complete, status);
        }
        void end(UpstreamResult result, int status = 0)
        {
            handler->onEnd({result, status, "scripted", false});
        }
        std::string header(std::string_view name) const
        {
            const auto *value = findHeader(request.headers, name);
            return value == nullptr ? "" : *value;
        }
    };

    std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                       std::shared_ptr<UpstreamHandler> handler) override
    {
        auto call = std::make_shared<Call>();
        call->request = std::move(request);
        call->handler = std::move(handler);
        calls.push_back(call);
        return call;
    }

    std::deque<std::shared_ptr<Call>> calls;
};

/** Counts the requests that upstreams run, by workspace. */
class CountingUsage : public UsageSink
{
public:
    void onRequestBegun(const std::string &workspace) override { ++counts[workspace]; }

    std::map<std::string, int> counts;
};

Route makeRoute(const std::string &prefix, RouteKind kind, bool resumable)
{
    Route route;
    route.name = prefix;
    route.host = "fleet.example";
    route.pathPrefix = prefix;
    route.kind = kind;
    route.targets = {{"models", 1}};
    route.timeout = seconds(5);
    route.maxAttempts = 2;
    route.resumable = resumable;
    return route;
}

RoutingConfig makeConfig()
{
    RoutingConfig config;
    config.version = 3;
    config.routes = {makeRoute("/order/", RouteKind::NonIdempotent, false),
                     makeRoute("/read/", RouteKind::Idempotent, false),
                     makeRoute("/chat/", RouteKind::Streaming, false),
                     makeRoute("/draft/", RouteKind::Streaming, true)};
    Service service;
    service.name = "models";
    config.services = {service};
    config.workspaces.emplace({KeyedWorkspace{"laundry", {"secret"}, 0}});
    return config;
}

std::vector<UpstreamEntry> makeUpstreams()
{
    std::vector<UpstreamEntry> entries;
    for (const std::string id : {"a", "b", "c"}) {
        UpstreamEntry entry;
        entry.id = UpstreamId(id);
        entry.service = "models";
        entry.address = id + ":1";
        entry.slots = 4;
        entries.push_back(entry);
    }
    return entries;
}

} // namespace

class ExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExchangeTest);
    CPPUNIT_TEST(relaysCompleteAnswer);
    CPPUNIT_TEST(doesNotForwardReservedHeaders);
    CPPUNIT_TEST(refusesUnknownKeyAndRoute);
    CPPUNIT_TEST(refusesAllKeysWithoutWorkspaces);
    CPPUNIT_TEST(answers503BeforeAnyConfiguration);
    CPPUNIT_TEST(refusesNewRequestsBeforeStop);
    CPPUNIT_TEST(openRequestsAreAnsweredAtTheEndOfTheGrace);
    CPPUNIT_TEST(requestsWithoutAnswerAreRefusedWhenMemoryIsFull);
    CPPUNIT_TEST(doesNotRetryNonIdempotentThatMayHaveRun);
    CPPUNIT_TEST(retriesRefusedNonIdempotent);
    CPPUNIT_TEST(upstreamThatSaysItLeavesGetsNoNewRequests);
    CPPUNIT_TEST(promiseWithoutProofIsNotPassedOn);
    CPPUNIT_TEST(promiseWithProofIsPassedOn);
    CPPUNIT_TEST(retriesIdempotentAfterBrokenConnection);
    CPPUNIT_TEST(rejectsUnprovenSuccess);
    CPPUNIT_TEST(resumesStreamWithoutGapOrDuplicate);
    CPPUNIT_TEST(errorOfTheNextUpstreamStaysOutOfTheStream);
    CPPUNIT_TEST(emptyAnswerOfTheNextUpstreamDoesNotCompleteTheStream);
    CPPUNIT_TEST(streamThatEndsAfterItsLastEventIsComplete);
    CPPUNIT_TEST(runThatDoesNotGoOnAtTheLastEventIsNotJoined);
    CPPUNIT_TEST(runWithMissingEventsIsNotJoined);
    CPPUNIT_TEST(streamWithoutIdsIsNotResumed);
    CPPUNIT_TEST(doesNotRelayPartialEvent);
    CPPUNIT_TEST(streamThatClosesBeforeItsFirstEventIsNotAnEmptyAnswer);
    CPPUNIT_TEST(abortsBrokenNonResumableStream);
    CPPUNIT_TEST(routeTimeoutEndsRequest);
    CPPUNIT_TEST(slowStreamIsNotCut);
    CPPUNIT_TEST(stalledStreamEndsAtTheRouteTimeout);
    CPPUNIT_TEST(endlessUnprovenAnswerIsEnded);
    CPPUNIT_TEST(endlessEventIsEnded);
    CPPUNIT_TEST(largeFailureReachesTheCaller);
    CPPUNIT_TEST(disconnectCancelsStream);
    CPPUNIT_TEST(disconnectKeepsNonIdempotentRunning);
    CPPUNIT_TEST(retryBudgetLimitsRetries);
    CPPUNIT_TEST(requestsThatRunAreCountedOnce);
    CPPUNIT_TEST(requestsThatDidNotRunAreNotCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_client.calls.clear();
        m_fleet = std::make_unique<GatewayFleet>(1, m_client, makeConfig(), makeUpstreams());
        // The retry budget grows with the number of requests.
        for (int i = 0; i < 20; ++i) {
            call("/order/1");
            m_client.calls.back()->answer(200, {{"proof", "1"}}, "ok");
        }
        m_client.calls.clear();
    }

    void relaysCompleteAnswer()
    {
        const auto view = call("/order/1");
        m_client.calls.at(0)->answer(201, {{"proof", "7"}, {"connection", "close"}}, "booked");
        CPPUNIT_ASSERT_EQUAL(201, view->status);
        CPPUNIT_ASSERT_EQUAL(std::string("booked"), view->body);
        CPPUNIT_ASSERT_EQUAL(std::string("7"), *findHeader(view->headers, "proof"));
        CPPUNIT_ASSERT(findHeader(view->headers, "connection") == nullptr);
        CPPUNIT_ASSERT(view->ended);
    }

    // Guards against an upstream that takes a caller's header for the router's, and against an API
    // key that is forwarded.
    void doesNotForwardReservedHeaders()
    {
        call("/order/1?x=1", {{"workspace", "forged"},
                              {"expect", "forged"},
                              {"connection", "X-Hop, id, x-kept-not"},
                              {"x-hop", "1"},
                              {"x-kept", "2"},
                              {"left-ms", "3000"}});
        const auto &sent = *m_client.calls.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("laundry"), sent.header("workspace"));
        CPPUNIT_ASSERT_EQUAL(std::string("3000"), sent.header("left-ms"));
        CPPUNIT_ASSERT(sent.header("expect") != "forged");
        CPPUNIT_ASSERT(sent.header("key").empty());
        CPPUNIT_ASSERT(sent.header("x-hop").empty());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), sent.header("x-kept"));
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), sent.header("id"));
    }

    void refusesUnknownKeyAndRoute()
    {
        CPPUNIT_ASSERT_EQUAL(401, m_fleet->call(0, "/order/1", {{"key", "other"}})->status);
        CPPUNIT_ASSERT_EQUAL(401, m_fleet->call(0, "/order/1", {})->status);
        CPPUNIT_ASSERT_EQUAL(404, m_fleet->call(0, "/none/1", {{"key", "secret"}})->status);
        CPPUNIT_ASSERT(m_client.calls.empty());
    }

    // Guards against routes that are open to everybody after the last workspace is removed.
    void refusesAllKeysWithoutWorkspaces()
    {
        auto config = makeConfig();
        config.version += 1;
        config.workspaces.emplace();
        m_fleet->gateway(0).state().configSink().onChange({"main", false, config, ""});
        m_fleet->gateway(0).state().configSink().onConfirmed(m_fleet->loop.now(), {0, 2});
        CPPUNIT_ASSERT_EQUAL(401, call("/order/1")->status);
        CPPUNIT_ASSERT_EQUAL(401, m_fleet->call(0, "/order/1", {})->status);
        CPPUNIT_ASSERT(m_client.calls.empty());
        // The older version, which names the key, is refused, and a version without the list opens
        // the routes as its writer says.
        m_fleet->gateway(0).state().configSink().onChange({"main", false, makeConfig(), ""});
        CPPUNIT_ASSERT_EQUAL(401, call("/order/1")->status);
        config.version += 1;
        config.workspaces.reset();
        m_fleet->gateway(0).state().configSink().onChange({"main", false, config, ""});
        m_fleet->call(0, "/order/1", {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_client.calls.size());
    }

    // Guards against a request on a keep-alive connection that is accepted shortly before the
    // process ends and is then cut off. Requests accepted earlier are still served.
    void refusesNewRequestsBeforeStop()
    {
        const auto running = call("/order/1");
        m_fleet->gateway(0).beginStop();
        const auto inTime = call("/order/1");
        m_fleet->gateway(0).refuseNew();
        const auto late = call("/order/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_client.calls.size());
        CPPUNIT_ASSERT_EQUAL(503, late->status);
        CPPUNIT_ASSERT(late->body.find("\"not_run\"") != std::string::npos);
        CPPUNIT_ASSERT(findHeader(late->headers, "Retry-After") != nullptr);
        for (const auto &it : m_client.calls)
            it->answer(200, {{"proof", "1"}}, "ok");
        CPPUNIT_ASSERT_EQUAL(200, running->status);
        CPPUNIT_ASSERT_EQUAL(200, inTime->status);
    }

    // Guards against requests that are cut off without an answer when the process ends, among them
    // held ones that no upstream has got, and against a refusal of one that may have run.
    void openRequestsAreAnsweredAtTheEndOfTheGrace()
    {
        const auto stream = call("/chat/1");
        m_client.calls.at(0)->handler->onHeaders(200, kProvenStream);
        m_client.calls.at(0)->handler->onData(kTwoEvents);
        const auto sent = call("/order/1");
        // Upstreams that take nothing for now hold up the next ones.
        std::shared_ptr<CallerView> held;
        for (int i = 0; i < 100 && !held; ++i) {
            const auto before = m_client.calls.size();
            const auto view = call("/order/1");
            if (m_client.calls.size() > before)
                m_client.calls.back()->answer(200, {{"proof", "1"}, {"limit", "1"}}, "ok");
            else
                held = view;
        }
        CPPUNIT_ASSERT(held && held->status == 0);
        m_fleet->gateway(0).endRequests();
        CPPUNIT_ASSERT(stream->aborted && !stream->ended);
        CPPUNIT_ASSERT_EQUAL(503, held->status);
        CPPUNIT_ASSERT(held->ended && held->body.find("\"not_run\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(502, sent->status);
        CPPUNIT_ASSERT(sent->ended && sent->body.find("may_have_run") != std::string::npos);
        // Nothing is sent afterwards.
        const auto calls = m_client.calls.size();
        m_fleet->loop.advance(seconds(20));
        CPPUNIT_ASSERT_EQUAL(calls, m_client.calls.size());
    }

    // Guards against a refusal that says "not run" of a request that may have run, and against one
    // that cuts into an answer.
    void requestsWithoutAnswerAreRefusedWhenMemoryIsFull()
    {
        const auto sent = call("/order/1");
        m_fleet->endLastForMemory();
        CPPUNIT_ASSERT_EQUAL(502, sent->status);
        CPPUNIT_ASSERT(sent->ended && sent->body.find("\"memory_full\"") != std::string::npos);
        const auto stream = call("/chat/1");
        m_client.calls.back()->handler->onHeaders(200, kProvenStream);
        m_client.calls.back()->handler->onData(kTwoEvents);
        m_fleet->endLastForMemory();
        CPPUNIT_ASSERT(!stream->ended && !stream->aborted);
    }

    // Guards against a node that answers 404 or 401 because it has not received a configuration.
    void answers503BeforeAnyConfiguration()
    {
        Gateway fresh(GatewayParts{m_fleet->loop, m_fleet->dialect, m_client, m_fleet->probe,
                                   m_fleet->metrics},
                      GatewaySettings{}, 1);
        CPPUNIT_ASSERT(!fresh.isReady());
        auto view = std::make_shared<CallerView>();
        HttpRequest request;
        request.path = "/none/1";
        fresh.onRequest(std::move(request), std::make_shared<ViewWriter>(m_fleet->loop, view));
        CPPUNIT_ASSERT_EQUAL(503, view->status);
    }

    // Guards against a non-idempotent request that runs twice.
    void doesNotRetryNonIdempotentThatMayHaveRun()
    {
        const auto view = call("/order/1");
        m_client.calls.at(0)->end(UpstreamResult::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_client.calls.size());
        CPPUNIT_ASSERT_EQUAL(502, view->status);
        CPPUNIT_ASSERT(view->body.find("may_have_run") != std::string::npos);
    }

    void retriesRefusedNonIdempotent()
    {
        const auto view = call("/order/1");
        m_client.calls.at(0)->answer(503, {{"not-run", "1"}}, "");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_client.calls.size());
        CPPUNIT_ASSERT(m_client.calls[0]->request.url != m_client.calls[1]->request.url);
        m_client.calls[1]->answer(503, {{"not-run", "1"}}, "");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_client.calls.size());
        CPPUNIT_ASSERT_EQUAL(503, view->status);
        CPPUNIT_ASSERT(view->body.find("not_run") != std::string::npos);
        CPPUNIT_ASSERT(findHeader(view->headers, "Retry-After") != nullptr);
    }

    // Guards against new requests to an upstream whose answers say that it leaves, while the store
    // cannot be reached and the list still has it.
    void upstreamThatSaysItLeavesGetsNoNewRequests()
    {
        const std::vector<std::tuple<std::string, int, HttpHeaders>> answers = {
                {"/order/1", 200, {{"proof", "1"}}},   {"/order/1", 500, {{"proof", "1"}}},
                {"/order/1", 503, {{"not-run", "1"}}}, {"/order/1", 200, {}},
                {"/chat/1", 200, kProvenStream},       {"/draft/1", 503, {{"not-run", "1"}}}};
        for (auto [path, status, headers] : answers) {
            setUp();
            call(path);
            const auto leaving = m_client.calls.at(0);
            headers.emplace_back("leaving", "1");
            leaving->handler->onHeaders(status, headers);
            const auto &url = leaving->request.url;
            const auto address = url.substr(0, url.find('/', std::string("http://").size()));
            for (int i = 0; i < 20; ++i)
                call("/read/1");
            m_fleet->loop.advance(seconds(3));
            for (int i = 0; i < 20; ++i)
                call("/read/1");
            for (std::size_t i = 1; i < m_client.calls.size(); ++i)
                CPPUNIT_ASSERT_MESSAGE(fmt::format("{} {}", path, status),
                                       !m_client.calls[i]->request.url.starts_with(address));
            CPPUNIT_ASSERT(m_client.calls.size() > 1);
        }
    }

    // Guards against an order that runs twice: its caller sends it again after a status which says
    // that it has not run, though the upstream does not state that.
    void promiseWithoutProofIsNotPassedOn()
    {
        for (const auto &[path, isRepeatable] : kRepeatable) {
            for (const int status : {408, 429, 503}) {
                for (const std::size_t size : {std::size_t{7}, std::size_t{1} << 20}) {
                    const auto name = fmt::format("{} {} {} bytes", path, status, size);
                    setUp();
                    const auto view = call(path);
                    answerAll(status, {{"proof", "1"}, {"retry-after", "1"}}, size);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 502, view->status);
                    CPPUNIT_ASSERT_MESSAGE(name, findHeader(view->headers, "proof") == nullptr);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, isRepeatable ? 2UL : 1UL,
                                                 m_client.calls.size());
                }
            }
        }
    }

    // Guards against a request that callers cannot send again although no upstream has run it.
    void promiseWithProofIsPassedOn()
    {
        for (const auto &[path, isRepeatable] : kRepeatable) {
            for (const int status : {408, 421, 429, 503}) {
                setUp();
                const auto name = fmt::format("{} {}", path, status);
                const auto view = call(path);
                answerAll(status, {{"not-run", "1"}}, 7);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 503, view->status);
                CPPUNIT_ASSERT_MESSAGE(name, view->body.find("not_run") != std::string::npos);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 2UL, m_client.calls.size());
            }
        }
    }

    void retriesIdempotentAfterBrokenConnection()
    {
        const auto view = call("/read/1");
        m_client.calls.at(0)->end(UpstreamResult::Broken);
        m_client.calls.at(1)->answer(200, {{"proof", "1"}}, "status");
        CPPUNIT_ASSERT_EQUAL(200, view->status);
        const auto second = call("/read/1");
        m_client.calls.at(2)->end(UpstreamResult::Broken);
        m_client.calls.at(3)->answer(503, {{"not-run", "1"}}, "");
        // The first attempt may have run, so the answer must not be a 503, which says it did not.
        CPPUNIT_ASSERT_EQUAL(502, second->status);
    }

    // Guards against relaying a response that does not prove that it comes from the upstream.
    void rejectsUnprovenSuccess()
    {
        const auto view = call("/order/1");
        m_client.calls.at(0)->answer(200, {}, "garbage");
        CPPUNIT_ASSERT_EQUAL(502, view->status);
        CPPUNIT_ASSERT(view->body.find("garbage") == std::string::npos);
    }

    // Guards against a lost or duplicated event when a stream is resumed after a broken connection.
    void resumesStreamWithoutGapOrDuplicate()
    {
        const auto view = call("/draft/1");
        auto &first = *m_client.calls.at(0);
        first.handler->onHeaders(200, kProvenStream);
        first.handler->onData("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
        first.end(UpstreamResult::Broken);
        auto &second = *m_client.calls.at(1);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), second.header("last-event"));
        second.answer(200, kProvenStream, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        CPPUNIT_ASSERT(view->ended);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
                             view->body);
    }

    // Guards against an error, its head or another body in the middle of a caller's stream, and
    // against a stream that ends there as if it were complete.
    void errorOfTheNextUpstreamStaysOutOfTheStream()
    {
        const HttpHeaders stream = {{"content-type", "text/event-stream"}};
        const HttpHeaders json = {{"proof", "1"}, {"content-type", "application/json"}};
        const HttpHeaders notRun = {{"not-run", "1"}, {"content-type", "text/event-stream"}};
        const std::string event = "id: 3\ndata: error\n\n";
        const std::vector<std::tuple<int, HttpHeaders, std::string>> answers = {
                {500, kProvenStream, event},
                {503, notRun, event},
                {421, {}, ""},
                {404, json, R"({"error":"x"})"},
                {500, kProvenStream, std::string(1 << 20, 'x')},
                {500, stream, std::string(1 << 20, 'x')},
                {200, json, R"({"answer":"x"})"},
                {200, json, std::string(1 << 20, 'x')},
                {200, stream, event},
                {200, {}, ""},
                {206, kProvenStream, event},
                {200, kProvenStream, "event: error\ndata: x\n\n"},
                {200, kProvenStream, "HTTP/1.1 500 Failed\r\nContent-Length: 1\r\n\r\nx"},
        };
        for (const auto &[status, headers, body] : answers) {
            for (const bool endsByClose : {false, true}) {
                const auto view = callWithBrokenStream();
                auto &second = *m_client.calls.at(1);
                second.handler->onHeaders(status, headers);
                if (!body.empty())
                    second.handler->onData(body);
                second.handler->onEnd(
                        {UpstreamResult::Complete, status, "", endsByClose, endsByClose});
                const std::string name = fmt::format("{} {}", status, body.substr(0, 40));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(kTwoEvents), view->body);
                CPPUNIT_ASSERT_MESSAGE(name, view->aborted && !view->ended);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200, view->status);
            }
        }
    }

    void emptyAnswerOfTheNextUpstreamDoesNotCompleteTheStream()
    {
        for (const int status : {200, 204}) {
            const auto view = callWithBrokenStream();
            auto &second = *m_client.calls.at(1);
            second.handler->onHeaders(status, kProvenStream);
            // Nothing tells the end of this answer from a connection that broke off.
            second.handler->onEnd({UpstreamResult::Complete, status, "", true, status == 200});
            CPPUNIT_ASSERT(view->aborted && !view->ended);
        }
    }

    // Guards against a whole stream that is broken off: only its end was lost, and the next
    // upstream proves that nothing follows.
    void streamThatEndsAfterItsLastEventIsComplete()
    {
        for (const std::string body : {"", "id: 2\ndata: b\n\n"}) {
            const auto view = callWithBrokenStream();
            m_client.calls.at(1)->answer(200, kProvenStream, body);
            CPPUNIT_ASSERT(view->ended && !view->aborted);
            CPPUNIT_ASSERT_EQUAL(std::string(kTwoEvents), view->body);
        }
    }

    // Guards against pieces of two runs in one stream.
    void runThatDoesNotGoOnAtTheLastEventIsNotJoined()
    {
        for (const std::string body :
             {"id: 1\ndata: c\n\nid: 2\ndata: d\n\nid: 3\ndata: e\n\n", "id: 1\ndata: c\n\n",
              "id: 2\ndata: other\n\nid: 3\ndata: e\n\n"}) {
            const auto view = callWithBrokenStream();
            m_client.calls.at(1)->answer(200, kProvenStream, body);
            CPPUNIT_ASSERT(m_client.calls.at(1)->cancelled);
            CPPUNIT_ASSERT_EQUAL(std::string(kTwoEvents), view->body);
            CPPUNIT_ASSERT(view->aborted && !view->ended);
        }
    }

    void runWithMissingEventsIsNotJoined()
    {
        const auto view = callWithBrokenStream();
        m_client.calls.at(1)->answer(200, kProvenStream, "id: 4\ndata: d\n\n");
        CPPUNIT_ASSERT_EQUAL(std::string(kTwoEvents), view->body);
        CPPUNIT_ASSERT(view->aborted && !view->ended);
        // Ids may increase by more than one.
        m_client.calls.clear();
        const auto wide = call("/draft/1");
        m_client.calls.at(0)->handler->onHeaders(200, kProvenStream);
        m_client.calls.at(0)->handler->onData("id: 5\ndata: a\n\n");
        m_client.calls.at(0)->end(UpstreamResult::Broken);
        m_client.calls.at(1)->answer(200, kProvenStream, "id: 10\ndata: b\n\n");
        CPPUNIT_ASSERT_EQUAL(std::string("id: 5\ndata: a\n\nid: 10\ndata: b\n\n"), wide->body);
        CPPUNIT_ASSERT(wide->ended);
    }

    // Guards against a new run from the start that is appended to the part which the caller has.
    void streamWithoutIdsIsNotResumed()
    {
        const auto view = call("/draft/1");
        m_client.calls.at(0)->handler->onHeaders(200, kProvenStream);
        m_client.calls.at(0)->handler->onData("data: a\n\n");
        m_client.calls.at(0)->end(UpstreamResult::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_client.calls.size());
        CPPUNIT_ASSERT(view->aborted);
    }

    // Guards against a truncated event that looks complete because the stream ended properly.
    void doesNotRelayPartialEvent()
    {
        const auto view = call("/chat/1");
        m_client.calls.at(0)->answer(200, kProvenStream, "id: 1\ndata: a\n\nid: 2\nda");
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), view->body);
        CPPUNIT_ASSERT(view->aborted);
        CPPUNIT_ASSERT(!view->ended);
    }

    // Guards against an empty success when an upstream ends before the first event of a stream
    // whose end is the end of its connection.
    void streamThatClosesBeforeItsFirstEventIsNotAnEmptyAnswer()
    {
        const auto view = call("/draft/1");
        auto &first = *m_client.calls.at(0);
        first.handler->onHeaders(200, kProvenStream);
        first.handler->onEnd({UpstreamResult::Complete, 200, "scripted", true, true});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_client.calls.size());
        m_client.calls.at(1)->answer(200, kProvenStream, "id: 1\ndata: a\n\n");
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), view->body);
    }

    void abortsBrokenNonResumableStream()
    {
        const auto view = call("/chat/1");
        auto &first = *m_client.calls.at(0);
        first.handler->onHeaders(200, kProvenStream);
        first.handler->onData("id: 1\ndata: a\n\n");
        first.end(UpstreamResult::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_client.calls.size());
        CPPUNIT_ASSERT(view->aborted);
    }

    // Guards against a request that outlives its route's timeout because its caller allows more.
    void routeTimeoutEndsRequest()
    {
        const auto view = call("/order/1", {{"left-ms", "60000"}});
        m_fleet->loop.advance(milliseconds(4900));
        CPPUNIT_ASSERT_EQUAL(0, view->status);
        m_fleet->loop.advance(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(504, view->status);
        CPPUNIT_ASSERT(m_client.calls.at(0)->cancelled);
    }

    // Guards against cutting a slow stream whose events arrive within the route's timeout.
    void slowStreamIsNotCut()
    {
        const auto view = call("/chat/1");
        auto &upstream = *m_client.calls.at(0);
        upstream.handler->onHeaders(200, kProvenStream);
        for (int i = 1; i <= 4; ++i) {
            m_fleet->loop.advance(milliseconds(1100));
            upstream.handler->onData(fmt::format("id: {}\ndata: x\n\n", i));
            CPPUNIT_ASSERT(!upstream.cancelled);
        }
        upstream.end(UpstreamResult::Complete, 200);
        CPPUNIT_ASSERT(view->ended);
        CPPUNIT_ASSERT(!view->aborted);
    }

    // Guards against a stalled stream that lives on because it sends a byte now and then: bytes of
    // an incomplete event are no progress.
    void stalledStreamEndsAtTheRouteTimeout()
    {
        const auto view = call("/chat/1");
        auto &upstream = *m_client.calls.at(0);
        upstream.handler->onHeaders(200, kProvenStream);
        upstream.handler->onData("id: 1\ndata: x\n\n");
        for (int i = 0; i < 60 && !upstream.cancelled; ++i) {
            m_fleet->loop.advance(milliseconds(100));
            upstream.handler->onData(":");
        }
        CPPUNIT_ASSERT(upstream.cancelled);
        CPPUNIT_ASSERT(view->aborted);
        CPPUNIT_ASSERT(view->endedAt - view->sentAt <= milliseconds(5100));
    }

    // Guards against memory that an upstream fills with an answer without end.
    void endlessUnprovenAnswerIsEnded()
    {
        const std::string piece(64 << 10, 'x');
        for (const int status : {200, 500}) {
            m_client.calls.clear();
            const auto order = call("/order/1");
            m_client.calls.back()->handler->onHeaders(status, {});
            for (int i = 0; i < 100 && !m_client.calls.at(0)->cancelled; ++i)
                m_client.calls.at(0)->handler->onData(piece);
            CPPUNIT_ASSERT(m_client.calls.at(0)->cancelled);
            CPPUNIT_ASSERT_EQUAL(502, order->status);
            CPPUNIT_ASSERT(order->body.find("not_run") == std::string::npos);
            // A request that may be repeated gets its answer from another upstream.
            m_client.calls.clear();
            const auto read = call("/read/1");
            m_client.calls.at(0)->handler->onHeaders(status, {});
            for (int i = 0; i < 100 && !m_client.calls.at(0)->cancelled; ++i)
                m_client.calls.at(0)->handler->onData(piece);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_client.calls.size());
            m_client.calls.at(1)->answer(200, {{"proof", "1"}}, "ok");
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), read->body);
        }
    }

    void endlessEventIsEnded()
    {
        const std::string piece(64 << 10, 'x');
        const auto view = call("/draft/1");
        m_client.calls.at(0)->handler->onHeaders(200, kProvenStream);
        m_client.calls.at(0)->handler->onData("id: 1\ndata: a\n\nid: 2\ndata: ");
        for (int i = 0; i < 100 && !m_client.calls.at(0)->cancelled; ++i)
            m_client.calls.at(0)->handler->onData(piece);
        CPPUNIT_ASSERT(m_client.calls.at(0)->cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_client.calls.size());
        m_client.calls.at(1)->answer(200, kProvenStream, "id: 2\ndata: b\n\n");
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), view->body);
        CPPUNIT_ASSERT(view->ended);
    }

    // Guards against ending a proven failure only because its body is long.
    void largeFailureReachesTheCaller()
    {
        const std::string body(1 << 20, 'x');
        const auto view = call("/order/1");
        m_client.calls.at(0)->answer(500, {{"proof", "1"}}, body);
        CPPUNIT_ASSERT_EQUAL(500, view->status);
        CPPUNIT_ASSERT_EQUAL(body.size(), view->body.size());
    }

    // Guards against an upstream that keeps generating for a disconnected caller.
    void disconnectCancelsStream()
    {
        call("/chat/1");
        m_fleet->leaveLast();
        CPPUNIT_ASSERT(m_client.calls.at(0)->cancelled);
    }

    // Guards against cancelling a non-idempotent request that is half done.
    void disconnectKeepsNonIdempotentRunning()
    {
        call("/order/1");
        m_fleet->leaveLast();
        CPPUNIT_ASSERT(!m_client.calls.at(0)->cancelled);
        m_client.calls.at(0)->answer(200, {{"proof", "1"}}, "ok");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_client.calls.size());
    }

    // Guards against retries that multiply the load of failing upstreams.
    void retryBudgetLimitsRetries()
    {
        int retries = 0;
        for (int i = 0; i < 100; ++i) {
            m_client.calls.clear();
            call("/read/1");
            m_client.calls.at(0)->end(UpstreamResult::Broken);
            if (m_client.calls.size() > 1) {
                ++retries;
                m_client.calls.at(1)->end(UpstreamResult::Broken);
            }
        }
        // 120 requests in total, of which a fifth may be retried.
        CPPUNIT_ASSERT(retries <= 24);
        CPPUNIT_ASSERT(retries >= 20);
    }

    // Guards against requests that are billed late, twice after a retry, or not at all.
    void requestsThatRunAreCountedOnce()
    {
        CountingUsage usage;
        m_fleet->gateway(0).setUsageSink(&usage);
        call("/order/1");
        m_client.calls.back()->answer(200, {{"proof", "1"}}, "ok");
        CPPUNIT_ASSERT_EQUAL(1, usage.counts["laundry"]);
        // A stream runs from its first event on, and is the same one after it was resumed.
        call("/draft/1");
        m_client.calls.back()->handler->onHeaders(200, kProvenStream);
        CPPUNIT_ASSERT_EQUAL(1, usage.counts["laundry"]);
        m_client.calls.back()->handler->onData(kTwoEvents);
        CPPUNIT_ASSERT_EQUAL(2, usage.counts["laundry"]);
        m_client.calls.back()->end(UpstreamResult::Broken);
        m_client.calls.back()->answer(200, kProvenStream, "id: 3\ndata: c\n\n");
        CPPUNIT_ASSERT_EQUAL(2, usage.counts["laundry"]);
        // An upstream that failed has run the request all the same.
        call("/read/1");
        m_client.calls.back()->answer(500, {{"proof", "1"}}, "failed");
        m_client.calls.back()->answer(200, {{"proof", "1"}}, "ok");
        CPPUNIT_ASSERT_EQUAL(3, usage.counts["laundry"]);
    }

    // Guards against requests that are billed although no upstream ran them.
    void requestsThatDidNotRunAreNotCounted()
    {
        CountingUsage usage;
        m_fleet->gateway(0).setUsageSink(&usage);
        call("/order/1");
        m_client.calls.back()->answer(503, {{"not-run", "1"}}, "");
        m_client.calls.back()->answer(503, {{"not-run", "1"}}, "");
        call("/read/1");
        m_client.calls.back()->end(UpstreamResult::ConnectFailed);
        m_fleet->call(0, "/order/1", {{"key", "other"}});
        CPPUNIT_ASSERT(usage.counts.empty());
    }

private:
    /** Answers each attempt of a request alike. */
    void answerAll(int status, const HttpHeaders &headers, std::size_t size)
    {
        for (std::size_t i = 0; i < m_client.calls.size(); ++i)
            m_client.calls[i]->answer(status, headers, std::string(size, 'x'));
    }

    /** @return a caller whose stream broke off after two events; the second attempt is sent. */
    std::shared_ptr<CallerView> callWithBrokenStream()
    {
        // New gateways: none of them holds an upstream for faulty because of an earlier case.
        setUp();
        auto view = call("/draft/1");
        auto &first = *m_client.calls.at(0);
        first.handler->onHeaders(200, kProvenStream);
        first.handler->onData(fmt::format("{}id: 3\nda", kTwoEvents));
        first.end(UpstreamResult::Broken);
        return view;
    }

    std::shared_ptr<CallerView> call(const std::string &target, HttpHeaders headers = {})
    {
        headers.emplace_back("key", "secret");
        headers.emplace_back("id", "r1");
        return m_fleet->call(0, target.substr(0, target.find('?')), std::move(headers));
    }

    ScriptedClient m_client;
    std::unique_ptr<GatewayFleet> m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExchangeTest);

} // namespace hawthornslip::test
