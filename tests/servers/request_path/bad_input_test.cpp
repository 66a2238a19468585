#include "tests/servers/request_path/path_fixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace hawthornslip {

using test::PathFixture;

/** Requests that are refused before they are sent, and requests with an idempotency key. */
class BadInputTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BadInputTest);
    CPPUNIT_TEST(unknownKeyIsRefused);
    CPPUNIT_TEST(malformedBodiesAreRefused);
    CPPUNIT_TEST(unknownProfilesAndModelsAreRefused);
    CPPUNIT_TEST(invalidHeadersAreRefused);
    CPPUNIT_TEST(pathTraversalIsRefused);
    CPPUNIT_TEST(workspaceKeyIsNotForwarded);
    CPPUNIT_TEST(claimErrorsAreReported);
    CPPUNIT_TEST(repeatedKeyGetsTheStoredAnswer);
    CPPUNIT_TEST(lateClaimIsReleased);
    CPPUNIT_TEST(keyedOrderContinuesAfterCallerDisconnects);
    CPPUNIT_TEST(answerStoreIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against accepting requests without a valid key.
    void unknownKeyIsRefused()
    {
        for (const auto *key : {"", "wrong"}) {
            PathFixture it;
            it.key = key;
            assertRefused(it, it.language("chat", false), 401, "unauthenticated");
        }
        PathFixture starting;
        starting.config.config = std::make_shared<SharedConfig>();
        assertRefused(starting, starting.language("chat", false), 503, "not_ready");
    }

    // Guards against malformed bodies that crash the router or are sent to an engine.
    void malformedBodiesAreRefused()
    {
        const std::vector<std::string> bodies = {
                "",
                "[]",
                "{\"model\":\"m\"",
                "{\"model\":5}",
                "{\"model\":\"m\",\"stream\":\"yes\"}",
                "{\"model\":\"m\",\"max_tokens\":-1}",
                "{\"model\":{\"a\":1}}",
                "{\"messages\":[]}",
                "{\"model\":\"m\",\"resume_after_tokens\":3}",
                "{\"model\":\"m\",\"messages\":" + std::string(100000, '['),
                "{\"model\":\"\xff\"}",
                "\"m\"",
        };
        for (const auto &body : bodies) {
            PathFixture it;
            assertRefused(it, send(it, body), 400, "invalid_body");
        }
        PathFixture it;
        it.settings.maxBodyBytes = 20;
        assertRefused(it, it.language("chat", false), 413, "body_too_large");
    }

    // Guards against requests for a profile or model that is not configured or not allowed.
    void unknownProfilesAndModelsAreRefused()
    {
        PathFixture profile;
        assertRefused(profile, profile.language("none", false), 400, "unknown_profile");
        PathFixture missing;
        assertRefused(missing, send(missing, R"({"model":"m"})", ""), 400, "unknown_profile");
        PathFixture model;
        assertRefused(model, send(model, R"({"model":"x"})"), 400, "unknown_model");
        PathFixture application;
        assertRefused(application, send(application, R"({"model":"app:shop"})"), 400,
                      "unknown_model");
        PathFixture narrow;
        narrow.key = "narrow";
        assertRefused(narrow, narrow.language("chat", false), 403, "profile_not_allowed");
    }

    // Guards against header values that overflow, and unsafe ones in logs or stored keys.
    void invalidHeadersAreRefused()
    {
        for (const auto *value : {"", "0", "-5", "1.5", "12ms", "99999999999999999999"}) {
            PathFixture it;
            assertRefused(it, it.language("chat", false, {{"x-hawthornslip-deadline-ms", value}}),
                          400, "invalid_header");
        }
        for (const auto &value :
             {std::string(), std::string("a b"), std::string("\xc3\xa4"), std::string(256, 'k')}) {
            PathFixture it;
            assertRefused(it, it.application("order", "POST", {{"idempotency-key", value}}), 400,
                          "invalid_header");
        }
    }

    // Guards against path traversal to other services of an application's host.
    void pathTraversalIsRefused()
    {
        for (const auto *path : {"/v1/apps/shop/../admin", "/v1/apps/shop/a/%2E./..",
                                 "/v1/apps/shop/.%2e", "/v1/apps/none/x", "/v1/apps/"}) {
            PathFixture it;
            auto context = std::make_unique<RequestContext>();
            context->route = RouteKind::Application;
            context->http.method = "GET";
            context->http.path = path;
            context->http.headers = {{"x-hawthornslip-profile", "chat"}};
            assertRefused(it, it.run(std::move(context)), 404, "unknown_route");
        }
    }

    // Guards against leaking the workspace key or hop-by-hop headers to an application.
    void workspaceKeyIsNotForwarded()
    {
        PathFixture it;
        it.then([&] { it.call(0).end(UpstreamResult::Broken); });
        it.application("order", "PATCH",
                       {{"x-shop", "1"},
                        {"x-request-id", "mine"},
                        {"connection", "close, X-Hop"},
                        {"x-hop", "1"}});
        const auto &request = it.call(0).request;
        CPPUNIT_ASSERT_EQUAL(std::string("PATCH"), request.method);
        CPPUNIT_ASSERT_EQUAL(std::string("item=5"), request.body);
        CPPUNIT_ASSERT(findHeader(request.headers, "authorization") == nullptr);
        CPPUNIT_ASSERT(findHeader(request.headers, "x-hop") == nullptr);
        CPPUNIT_ASSERT(findHeader(request.headers, "x-shop") != nullptr);
        CPPUNIT_ASSERT(*findHeader(request.headers, "x-request-id") != "mine");
    }

    // Guards I4: nothing is sent without a confirmed claim, and the caller receives the reason.
    void claimErrorsAreReported()
    {
        const std::vector<std::pair<Reason, int>> cases = {
                {Reason::IdempotencyKeyReused, 422}, {Reason::InProgress, 409},
                {Reason::AlreadyRan, 409},           {Reason::OutcomeUnknown, 409},
                {Reason::ClaimsFull, 503},           {Reason::StoreUnavailable, 503}};
        for (const auto &[reason, status] : cases) {
            PathFixture it;
            it.claims.error = RequestError{reason, Execution::NotRun, "x", seconds(2)};
            assertRefused(it, keyed(it, "k"), status, std::string(nameOf(reason)));
            CPPUNIT_ASSERT(it.claims.records.empty());
        }
    }

    // Guards I5: a repeated key gets the stored answer, and the same key with another request is
    // refused.
    void repeatedKeyGetsTheStoredAnswer()
    {
        PathFixture it;
        it.then([&] { answerOrder(it, 201, "created"); });
        const auto first = keyed(it, "k");
        CPPUNIT_ASSERT_EQUAL(201, first.status);
        CPPUNIT_ASSERT(it.claims.records.at(0) == std::pair(Execution::Ran, 201));
        const auto again = keyed(it, "k");
        CPPUNIT_ASSERT_EQUAL(201, again.status);
        CPPUNIT_ASSERT_EQUAL(std::string("created"), again.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.upstream.calls.size());
        const auto other = it.application("order", "PUT", {{"idempotency-key", "k"}});
        CPPUNIT_ASSERT_EQUAL(422, other.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.upstream.calls.size());
        it.clock.advance(seconds(61));
        it.claims.error = RequestError{Reason::AlreadyRan, Execution::Ran, "x"};
        CPPUNIT_ASSERT_EQUAL(409, keyed(it, "k").status);
    }

    // Guards against a key that stays claimed although its request was never sent.
    void lateClaimIsReleased()
    {
        PathFixture it;
        it.claims.hold = true;
        it.then([&] { it.link->present = false; });
        keyed(it, "k");
        it.claims.held(ClaimTicket{WorkspaceId("hut"), "k", 1});
        CPPUNIT_ASSERT(it.claims.records.at(0) == std::pair(Execution::NotRun, 0));
        CPPUNIT_ASSERT(it.upstream.calls.empty());

        PathFixture refused;
        refused.admission.refusal =
                RequestError{Reason::QueueFull, Execution::NotRun, "full", seconds(1)};
        keyed(refused, "k");
        CPPUNIT_ASSERT(refused.claims.records.at(0) == std::pair(Execution::NotRun, 0));
    }

    // Guards against an order whose outcome stays unknown because its caller disconnected.
    void keyedOrderContinuesAfterCallerDisconnects()
    {
        PathFixture it;
        it.then([&] { it.link->present = false; });
        it.then([&] { answerOrder(it, 200, "done"); });
        keyed(it, "k");
        CPPUNIT_ASSERT(!it.call(0).cancelled);
        CPPUNIT_ASSERT(it.claims.records.at(0) == std::pair(Execution::Ran, 200));
        it.link->present = true;
        CPPUNIT_ASSERT_EQUAL(std::string("done"), keyed(it, "k").body);
    }

    // Guards against stored answers that exhaust the memory of a small VM.
    void answerStoreIsBounded()
    {
        AnswerStore store(100, seconds(10));
        const WorkspaceId workspace("w");
        const TimePoint now(seconds(5));
        for (const auto *key : {"a", "b", "c"})
            store.put(workspace, key, {1, 200, {}, std::string(40, 'x')}, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(80), store.bytes());
        CPPUNIT_ASSERT(!store.find(workspace, "a", now));
        CPPUNIT_ASSERT(store.find(workspace, "c", now).has_value());
        CPPUNIT_ASSERT(!store.find(WorkspaceId("v"), "c", now));
        store.put(workspace, "d", {1, 200, {}, std::string(101, 'x')}, now);
        CPPUNIT_ASSERT(!store.find(workspace, "d", now));
        CPPUNIT_ASSERT(!store.find(workspace, "c", now + seconds(10)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), store.bytes());
    }

private:
    static HttpResponse send(PathFixture &it, const std::string &body,
                             const std::string &profile = "chat")
    {
        auto context = std::make_unique<RequestContext>();
        context->http.method = "POST";
        context->http.path = "/v1/completions";
        if (!profile.empty())
            context->http.headers = {{"x-hawthornslip-profile", profile}};
        context->http.body = body;
        return it.run(std::move(context));
    }

    static HttpResponse keyed(PathFixture &it, const std::string &key)
    {
        return it.application("order", "POST", {{"idempotency-key", key}});
    }

    static void answerOrder(PathFixture &it, int status, const std::string &body)
    {
        it.call(0).headers(status, "text/plain");
        it.call(0).handler->onData(body);
        it.call(0).end(UpstreamResult::Complete);
    }

    static void assertRefused(PathFixture &it, const HttpResponse &answer, int status,
                              const std::string &code)
    {
        const auto error = nlohmann::json::parse(answer.body).at("error");
        CPPUNIT_ASSERT_EQUAL(code, error.at("code").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(status, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), error.at("execution").get<std::string>());
        CPPUNIT_ASSERT(it.upstream.calls.empty());
        CPPUNIT_ASSERT_EQUAL(1.0, it.metrics.sum("hawthornslip_refusals_total/reason=" + code));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BadInputTest);

} // namespace hawthornslip
