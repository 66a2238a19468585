#include "platform/decoders.h"
#include "platform/node_registry.h"
#include "platform/object_feed.h"
#include "platform/wire_headers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <deque>

namespace hawthornslip::platform {

namespace {

using Json = nlohmann::json;

const char *const kConfig = R"({"version":7,"routes":[
{"name":"r1","host":"a.example","path_prefix":"/x/","route_kind":"streaming","timeout_ms":15000,"goal_ms":2000,
 "priority":2,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2,"public":false,
 "sticky":true,"resumable":true,"gap_goal_ms":800},
{"name":"r2","host":"a.example","path_prefix":"/y/","route_kind":"non_idempotent","service":"s2","public":true}],
"services":[{"name":"s1","health_path":"/h","max_conns":370,"engine":{"slots":64,"kv_capacity":689070,"stride":5}},
{"name":"s2","health_path":"/h","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}]})";

const char *const kUpstream =
        R"({"service":"s1","address":"10.0.0.9:80","zone":"riga-a","version":"v1","slots":64,
"state":"ready","cold_left_ms":0,"sequence":4})";

/** Answers each call with the next scripted answer. */
class ScriptedStore : public UpstreamClient
{
public:
    std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                       std::shared_ptr<UpstreamHandler> handler) override
    {
        requests.push_back(request);
        const auto [result, status, body, headers] = answers.front();
        answers.pop_front();
        handler->onHeaders(status, headers);
        handler->onData(body);
        handler->onEnd({result, status, "", false});
        return nullptr;
    }

    struct Answer
    {
        UpstreamResult result = UpstreamResult::Complete;
        int status = 200;
        std::string body;
        HttpHeaders headers{};
    };
    std::vector<UpstreamRequest> requests;
    std::deque<Answer> answers;
};

} // namespace

class DecodersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DecodersTest);
    CPPUNIT_TEST(decodesConfig);
    CPPUNIT_TEST(decodesScaling);
    CPPUNIT_TEST(rejectsMalformedConfig);
    CPPUNIT_TEST(emptyListOfTenantsIsNotAMissingOne);
    CPPUNIT_TEST(rejectsListsOfAnotherType);
    CPPUNIT_TEST(decodesUpstream);
    CPPUNIT_TEST(decodesReclaimableUpstream);
    CPPUNIT_TEST(entryWithoutASoftwareVersionIsUsed);
    CPPUNIT_TEST(rejectsMalformedUpstreamEntries);
    CPPUNIT_TEST(readsCallHeaders);
    CPPUNIT_TEST(ignoresMalformedHeaders);
    CPPUNIT_TEST(callerCannotSetPromptSource);
    CPPUNIT_TEST(feedReadsListAndWatch);
    CPPUNIT_TEST(feedDistinguishesErrors);
    CPPUNIT_TEST(feedReadsEraFromEachAnswer);
    CPPUNIT_TEST(feedIgnoresMalformedEra);
    CPPUNIT_TEST(onlyTheFirstListMayBeStale);
    CPPUNIT_TEST(registryTreatsConflictAsSuccess);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against orders under other terms than the provider's, and against terms where there
    // are none.
    void decodesScaling()
    {
        Json body = Json::parse(kConfig);
        CPPUNIT_ASSERT(!decodeConfig("main", body).value->services[0].scaling);
        body["services"][0]["scaling"] = {{"min", 1},
                                          {"max", 60},
                                          {"boot_s", 4.5},
                                          {"spot_price", 0.25},
                                          {"zone_prices", {{"riga-a", 0.75}, {"riga-b", "?"}}}};
        body["services"][1]["scaling"] = Json::object();
        const auto config = decodeConfig("main", body);
        CPPUNIT_ASSERT(config.value);
        ScalingPolicy expected;
        expected.minUpstreams = 1;
        expected.maxUpstreams = 60;
        expected.startTime = milliseconds(4500);
        expected.reclaimablePrice = 0.25;
        expected.domainPrices = {{FailureDomain("riga-a"), 0.75}};
        CPPUNIT_ASSERT(config.value->services[0].scaling == expected);
        CPPUNIT_ASSERT(config.value->services[1].scaling == ScalingPolicy());
    }

    // Guards against upstreams that are not used because of what they leave out.
    void entryWithoutASoftwareVersionIsUsed()
    {
        Json body = Json::parse(kUpstream);
        body["version"] = "v1.2";
        CPPUNIT_ASSERT_EQUAL(std::string("v1.2"), decodeUpstream("u", body).value->softwareVersion);
        for (const Json &it : {Json(""), Json(), Json(7), Json::array({"v1.2"})}) {
            body["version"] = it;
            CPPUNIT_ASSERT(decodeUpstream("u", body).value);
            CPPUNIT_ASSERT(decodeUpstream("u", body).value->softwareVersion.empty());
        }
        body.erase("version");
        CPPUNIT_ASSERT(decodeUpstream("u", body).value->softwareVersion.empty());
    }

    // Guards against an upstream that is taken for an ordinary one, or for one that stays.
    void decodesReclaimableUpstream()
    {
        Json body = Json::parse(kUpstream);
        CPPUNIT_ASSERT(!decodeUpstream("u", body).value->reclaimable);
        CPPUNIT_ASSERT(!decodeUpstream("u", body).value->leavesIn);
        body["spot"] = true;
        body["state"] = "draining";
        body["leaves_ms"] = 1500;
        const auto entry = decodeUpstream("u", body).value;
        CPPUNIT_ASSERT(entry && entry->reclaimable && entry->draining);
        CPPUNIT_ASSERT(entry->leavesIn == milliseconds(1500));
    }

    void decodesConfig()
    {
        const auto decoded = decodeConfig("main", Json::parse(kConfig));
        CPPUNIT_ASSERT_MESSAGE(decoded.fault, decoded.value.has_value());
        const auto &config = *decoded.value;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, config.version);
        CPPUNIT_ASSERT(config.routes[0].kind == RouteKind::Streaming);
        CPPUNIT_ASSERT(config.routes[0].isRepeatable());
        CPPUNIT_ASSERT(config.routes[0].pauseObjective == milliseconds(800));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, config.routes[0].targets.size());
        CPPUNIT_ASSERT_EQUAL(std::string("s2"), config.routes[1].targets[0].service);
        CPPUNIT_ASSERT(config.routes[1].isPublic);
        CPPUNIT_ASSERT(!config.routes[1].isRepeatable());
        CPPUNIT_ASSERT_EQUAL(64U, config.services[0].engine->slots);
        CPPUNIT_ASSERT(config.limits.headerTimeout == seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::string("k2"), config.workspaces->at(0).apiKeys[1]);
    }

    // Guards against a malformed configuration that takes effect in part.
    void rejectsMalformedConfig()
    {
        for (const char *field : {"version", "routes"}) {
            auto body = Json::parse(kConfig);
            if (std::string(field) == "routes")
                body["routes"][0]["route_kind"] = "other";
            else
                body.erase(field);
            const auto decoded = decodeConfig("main", body);
            CPPUNIT_ASSERT(!decoded.value);
            CPPUNIT_ASSERT(!decoded.fault.empty());
        }
        CPPUNIT_ASSERT(!decodeConfig("main", Json("text")).value);
        CPPUNIT_ASSERT(!decodeConfig("other", Json::parse(kConfig)).value);
    }

    // Guards against requests with revoked and with unknown keys after the last tenant is removed.
    void emptyListOfTenantsIsNotAMissingOne()
    {
        auto body = Json::parse(kConfig);
        body["tenants"] = Json::array();
        const auto empty = decodeConfig("main", body);
        CPPUNIT_ASSERT(empty.value && empty.value->workspaces);
        CPPUNIT_ASSERT(empty.value->workspaces->empty());
        body.erase("tenants");
        const auto missing = decodeConfig("main", body);
        CPPUNIT_ASSERT(missing.value && !missing.value->workspaces);
        body["tenants"] = {{{"name", "t1"}, {"api_keys", Json::array()}}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decodeConfig("main", body).value->workspaces->size());
    }

    // Guards against a list that is taken for an empty one, which would close or open all routes.
    void rejectsListsOfAnotherType()
    {
        for (const char *field : {"tenants", "routes", "services"}) {
            for (const auto &value : {Json(), Json::object(), Json("none"), Json(0), Json(false)}) {
                auto body = Json::parse(kConfig);
                body[field] = value;
                const auto decoded = decodeConfig("main", body);
                CPPUNIT_ASSERT_MESSAGE(field + value.dump(), !decoded.value);
                CPPUNIT_ASSERT(decoded.fault.find(field) != std::string::npos);
            }
        }
    }

    void decodesUpstream()
    {
        auto body = Json::parse(kUpstream);
        const auto decoded = decodeUpstream("i-1", body);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), decoded.value->id.value);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:80"), decoded.value->address);
        CPPUNIT_ASSERT(!decoded.value->draining);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, decoded.value->bornMs);
        body["born"] = 1767385627000U;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1767385627000},
                             decodeUpstream("i-1", body).value->bornMs);
        body["born"] = "early";
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, decodeUpstream("i-1", body).value->bornMs);
        body["state"] = "draining";
        CPPUNIT_ASSERT(decodeUpstream("i-1", body).value->draining);
    }

    // Guards against requests that go to a wrong address because another program wrote a malformed
    // entry.
    void rejectsMalformedUpstreamEntries()
    {
        for (const char *field : {"service", "address", "zone", "slots", "state"}) {
            auto missing = Json::parse(kUpstream);
            missing.erase(field);
            CPPUNIT_ASSERT(!decodeUpstream("i-1", missing).value);
            auto other = Json::parse(kUpstream);
            other[field] = Json::array();
            CPPUNIT_ASSERT(!decodeUpstream("i-1", other).value);
        }
        auto state = Json::parse(kUpstream);
        state["state"] = "sleeping";
        CPPUNIT_ASSERT(!decodeUpstream("i-1", state).value);
        CPPUNIT_ASSERT(!decodeUpstream("i-1", Json()).value);
    }

    void readsCallHeaders()
    {
        const WireHeaders headers;
        const auto meta =
                headers.readRequest({{"x-hawthornslip-attempt-id", "9c41"},
                                     {"x-hawthornslip-token-usage", "1460,80"},
                                     {"x-hawthornslip-prefix-hash", "5c:800,91:410, e4:250"},
                                     {"x-hawthornslip-deadline-ms", "15000"},
                                     {"last-event-id", "12"},
                                     {"authorization", "Bearer n2ct"}});
        CPPUNIT_ASSERT_EQUAL(std::string("9c41"), meta.requestId);
        CPPUNIT_ASSERT_EQUAL(1460U, meta.promptTokens);
        CPPUNIT_ASSERT_EQUAL(80U, meta.maxOutputTokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, meta.prompt.size());
        CPPUNIT_ASSERT_EQUAL(std::string("e4"), meta.prompt[2].id);
        CPPUNIT_ASSERT_EQUAL(250U, meta.prompt[2].tokens);
        CPPUNIT_ASSERT(*meta.timeLeft == seconds(15));
        CPPUNIT_ASSERT(*meta.lastEventId == 12);
        CPPUNIT_ASSERT_EQUAL(std::string("n2ct"), meta.apiKey);
        CPPUNIT_ASSERT(headers.isReserved("authorization"));
        CPPUNIT_ASSERT(headers.isReserved("x-hawthornslip-tenant"));
        CPPUNIT_ASSERT(headers.isReserved("kv-from"));
        CPPUNIT_ASSERT(!headers.isReserved("x-hawthornslip-model"));
    }

    // Guards against a caller that sets the header itself, so that an upstream copies the cached
    // prompts of other callers.
    void callerCannotSetPromptSource()
    {
        const WireHeaders dialect;
        CPPUNIT_ASSERT(dialect.isReserved("kv-fetch"));
        HttpHeaders headers;
        dialect.writeForward({}, headers);
        CPPUNIT_ASSERT(findHeader(headers, "kv-fetch") == nullptr);
        ForwardMeta meta;
        meta.promptSource = "10.0.0.7:80";
        dialect.writeForward(meta, headers);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.7:80"), *findHeader(headers, "kv-fetch"));
    }

    void ignoresMalformedHeaders()
    {
        const auto meta = WireHeaders().readRequest({{"x-hawthornslip-token-usage", "a,b"},
                                                     {"x-hawthornslip-prefix-hash", ",:,x,9:"},
                                                     {"x-hawthornslip-deadline-ms", "1e9"},
                                                     {"last-event-id", "-1"},
                                                     {"authorization", "Basic abc"}});
        CPPUNIT_ASSERT_EQUAL(0U, meta.promptTokens);
        CPPUNIT_ASSERT(!meta.timeLeft);
        CPPUNIT_ASSERT(!meta.lastEventId);
        CPPUNIT_ASSERT(meta.apiKey.empty());
    }

    void feedReadsListAndWatch()
    {
        ScriptedStore store;
        const auto feed = makeUpstreamFeed(store, "10.0.0.2:90");
        const std::string object =
                std::string(R"({"metadata":{"name":"i-1","revision":4},"spec":)") + kUpstream + "}";
        store.answers.push_back({UpstreamResult::Complete, 200,
                                 R"({"entries":[)" + object + R"(],"has_more":true,"as_of":530})"});
        FeedResult<UpstreamEntry> got;
        feed->list("i-0", [&got](FeedResult<UpstreamEntry> result) { got = std::move(result); });
        CPPUNIT_ASSERT_EQUAL(std::string("http://10.0.0.2:90/objects/servers?after=i-0"),
                             store.requests[0].url);
        CPPUNIT_ASSERT(got.hasMore);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{530}, got.revision);
        CPPUNIT_ASSERT(got.items.at(0).value.has_value());
        store.answers.push_back(
                {UpstreamResult::Complete, 200,
                 R"({"events":[{"deleted":true,"object":)" + object + R"(}],"as_of":533})"});
        feed->watch({0, 530}, seconds(2),
                    [&got](FeedResult<UpstreamEntry> result) { got = std::move(result); });
        CPPUNIT_ASSERT_EQUAL(
                std::string("http://10.0.0.2:90/objects/servers?watch=530&wait_ms=2000"),
                store.requests[1].url);
        CPPUNIT_ASSERT(got.items.at(0).removed);
    }

    // Guards against an error response of the store that is taken for an empty list.
    void feedDistinguishesErrors()
    {
        using Answer = ScriptedStore::Answer;
        const std::vector<std::pair<FeedError, Answer>> cases = {
                {FeedError::HistoryGone, {UpstreamResult::Complete, 410, ""}},
                {FeedError::RateLimited, {UpstreamResult::Complete, 429, ""}},
                {FeedError::Unavailable, {UpstreamResult::Complete, 503, ""}},
                {FeedError::Unavailable, {UpstreamResult::Broken, 200, R"({"entries":[]})"}},
                {FeedError::Malformed, {UpstreamResult::Complete, 200, "{"}},
                {FeedError::Malformed, {UpstreamResult::Complete, 200, R"({"entries":[]})"}},
        };
        for (const auto &[error, answer] : cases) {
            ScriptedStore store;
            store.answers.push_back(answer);
            FeedError got = FeedError::None;
            makeConfigFeed(store, "a:1")->list("", [&got](const FeedResult<RoutingConfig> &result) {
                got = result.error;
            });
            CPPUNIT_ASSERT(got == error);
            // A connection that was cut while idle would hide a change from this node for seconds.
            CPPUNIT_ASSERT(store.requests[0].reuseWithin <= DirectoryTimes().drainWithin);
        }
    }

    void feedReadsEraFromEachAnswer()
    {
        for (const int status : {200, 410, 429, 503}) {
            const auto result =
                    watchAnswered(status, {{"content-length", "9"}, {"store-era", "4"}});
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, result.era.value_or(0));
        }
    }

    // Guards against state that is dropped or lost because of a header that is not an era.
    void feedIgnoresMalformedEra()
    {
        for (const char *value : {"", "0", "-1", "x", "4x", "1.5", "99999999999999999999999"}) {
            const auto result = watchAnswered(200, {{"store-era", value}});
            CPPUNIT_ASSERT(!result.era);
            CPPUNIT_ASSERT(result.error == FeedError::None);
        }
        CPPUNIT_ASSERT(!watchAnswered(200, {}).era);
    }

    // Guards against a node that takes its entry of before a restore for a present one.
    void onlyTheFirstListMayBeStale()
    {
        ScriptedStore store;
        const auto feed = makeNodeFeed(store, "10.0.0.2:90");
        for (int i = 0; i < 2; ++i) {
            store.answers.push_back({UpstreamResult::Complete, 200, R"({"entries":[],"as_of":3})"});
            feed->list("", [](const auto &) {});
        }
        CPPUNIT_ASSERT(store.requests[0].url.find("stale_ok=1") != std::string::npos);
        CPPUNIT_ASSERT(store.requests[1].url.find("stale_ok") == std::string::npos);
    }

    void registryTreatsConflictAsSuccess()
    {
        for (const auto &[status, expected] :
             std::vector<std::pair<int, bool>>{{200, true}, {409, true}, {503, false}}) {
            ScriptedStore store;
            store.answers.push_back({UpstreamResult::Complete, status, ""});
            bool got = !expected;
            ObjectNodeRegistry registry(store, "a:1", FailureDomain("west"));
            registry.announce("10.0.0.1:7000", [&got](bool done) { got = done; });
            CPPUNIT_ASSERT_EQUAL(expected, got);
            CPPUNIT_ASSERT(store.requests[0].body.find("10.0.0.1:7000") != std::string::npos);
        }
    }

private:
    static FeedResult<UpstreamEntry> watchAnswered(int status, HttpHeaders headers)
    {
        ScriptedStore store;
        const auto feed = makeUpstreamFeed(store, "10.0.0.2:90");
        store.answers.push_back({UpstreamResult::Complete, status, R"({"events":[],"as_of":3})",
                                 std::move(headers)});
        FeedResult<UpstreamEntry> got;
        feed->watch({1, 2}, seconds(1), [&got](auto result) { got = std::move(result); });
        return got;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecodersTest);

} // namespace hawthornslip::platform
