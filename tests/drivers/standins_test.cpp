#include "servers/load_generator/token_text.h"
#include "tests/standins/application_standin.h"
#include "tests/standins/engine_standin.h"
#include "tests/standins/plain_http.h"
#include "tests/standins/platform_standin.h"
#include "tests/standins/steady_now.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <thread>

namespace hawthornslip::standin {

namespace {

constexpr Duration kPatience = seconds(10);
const std::string kId = "0f0e0d0c0b0a09080706050403020100";

/** Waits for a condition of another thread. @return false when it did not come about. */
bool waitFor(const std::function<bool()> &condition)
{
    const auto end = steadyNow() + kPatience;
    while (!condition()) {
        if (steadyNow() > end)
            return false;
        std::this_thread::yield();
    }
    return true;
}

PlainRequest completion(int tokens, bool streamed)
{
    const nlohmann::json body = {{"model", "default"},
                                 {"stream", streamed},
                                 {"user", "caller-1"},
                                 {"prompt", "[answer_tokens=" + std::to_string(tokens) + "]"}};
    return {"POST", "/v1/completions", {{"X-Request-Id", kId}}, body.dump()};
}

EngineSpec quickEngine()
{
    EngineSpec spec;
    spec.batch.stepBase = milliseconds(1);
    spec.batch.stepPerRunning = Duration(10);
    spec.batch.slots = 2;
    return spec;
}

PlainRequest putRequest(const std::string &key, const std::string &value, const std::string &name,
                        const std::string &version)
{
    return {"PUT", "/objects/" + key, {{name, version}}, value};
}

} // namespace

/** Guards the stand-ins' faults: a fault that does nothing would let every test of it pass. */
class StandinsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StandinsTest);
    CPPUNIT_TEST(streamHasEachTokenOnce);
    CPPUNIT_TEST(closedConnectionCancelsTheRun);
    CPPUNIT_TEST(crashBreaksStreamsAndPortReopens);
    CPPUNIT_TEST(wrongIdShowsInTheEvents);
    CPPUNIT_TEST(oldFencingNumberIsRefused);
    CPPUNIT_TEST(modelIsUsableOnlyAfterItsLoad);
    CPPUNIT_TEST(conditionalWriteAndWatch);
    CPPUNIT_TEST(lostAnswerTakesEffect);
    CPPUNIT_TEST(outageAndRateLimitRefuse);
    CPPUNIT_TEST(applicationRunsOnceAndLosesItsAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void streamHasEachTokenOnce()
    {
        EngineStandin engine(quickEngine());
        CPPUNIT_ASSERT(engine.start());
        const auto answer = plainHttp(engine.port(), completion(5, true));
        CPPUNIT_ASSERT(answer.has_value());
        for (std::uint32_t i = 0; i < 5; ++i) {
            const auto at = answer->body.find(tokenText(kId, i));
            CPPUNIT_ASSERT(at != std::string::npos);
            CPPUNIT_ASSERT(answer->body.find(tokenText(kId, i), at + 1) == std::string::npos);
        }
        CPPUNIT_ASSERT(answer->body.find("data: [DONE]") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("caller-1"), engine.runs().records().at(0).marker);
    }

    void closedConnectionCancelsTheRun()
    {
        EngineStandin engine(quickEngine());
        CPPUNIT_ASSERT(engine.start());
        PlainConnection connection(engine.port(), completion(4000, true));
        CPPUNIT_ASSERT(connection.readUntil(tokenText(kId, 0), kPatience));
        connection.close();
        CPPUNIT_ASSERT(waitFor(
                [&] { return engine.runs().records().at(0).state == RunState::Cancelled; }));
        CPPUNIT_ASSERT_EQUAL(0U, engine.running());
    }

    void crashBreaksStreamsAndPortReopens()
    {
        EngineStandin engine(quickEngine());
        CPPUNIT_ASSERT(engine.start());
        const auto port = engine.port();
        PlainConnection connection(port, completion(4000, true));
        CPPUNIT_ASSERT(connection.readUntil(tokenText(kId, 0), kPatience));
        engine.crash(milliseconds(1));
        CPPUNIT_ASSERT(!connection.readAll(kPatience).has_value());
        CPPUNIT_ASSERT(waitFor([&] { return plainHttp(port, completion(1, true)).has_value(); }));
        CPPUNIT_ASSERT(engine.runs().records().at(0).state == RunState::Broken);
    }

    void wrongIdShowsInTheEvents()
    {
        EngineStandin engine(quickEngine());
        CPPUNIT_ASSERT(engine.start());
        EngineFaults faults;
        faults.wrongIds = 1;
        engine.setFaults(faults);
        const auto crossed = plainHttp(engine.port(), completion(2, true));
        CPPUNIT_ASSERT(crossed && crossed->body.find(kId) == std::string::npos);
        const auto right = plainHttp(engine.port(), completion(2, true));
        CPPUNIT_ASSERT(right && right->body.find(kId) != std::string::npos);
    }

    void oldFencingNumberIsRefused()
    {
        for (const bool checks : {true, false}) {
            OrderHandler handler({"default"}, checks, Duration(0));
            const std::string order = R"({"kind":"set_role","value":"v","fencing":)";
            CPPUNIT_ASSERT_EQUAL(200, handler.take(TimePoint{}, order + "5}").status);
            CPPUNIT_ASSERT_EQUAL(checks ? 409 : 200,
                                 handler.take(TimePoint{}, order + "4}").status);
        }
    }

    void modelIsUsableOnlyAfterItsLoad()
    {
        OrderHandler handler({}, true, seconds(2));
        const TimePoint start{seconds(10)};
        handler.take(start, R"({"kind":"load_model","model":"m","fencing":1})");
        CPPUNIT_ASSERT(!handler.serves(start + seconds(1), "m"));
        CPPUNIT_ASSERT(handler.serves(start + seconds(2), "m"));
    }

    void conditionalWriteAndWatch()
    {
        PlatformStandin platform;
        CPPUNIT_ASSERT(platform.start());
        const auto port = platform.port();
        const auto created = plainHttp(port, putRequest("a/b", "1", "If-None-Match", "*"));
        CPPUNIT_ASSERT(created && created->status == 200);
        const std::string version = created->headers.at("etag");
        const auto again = plainHttp(port, putRequest("a/b", "2", "If-None-Match", "*"));
        CPPUNIT_ASSERT(again && again->status == 412);
        PlainConnection watch(port, {"GET",
                                     "/objects/a/b?timeout_ms=9000&after=" +
                                             version.substr(1, version.size() - 2),
                                     {},
                                     ""});
        CPPUNIT_ASSERT(waitFor([&] { return platform.counters().count("watch a") > 0; }));
        const auto changed = plainHttp(port, putRequest("a/b", "3", "If-Match", version));
        CPPUNIT_ASSERT(changed && changed->status == 200);
        const auto seen = watch.readAll(kPatience);
        CPPUNIT_ASSERT(seen && seen->status == 200);
        CPPUNIT_ASSERT_EQUAL(std::string("3"), seen->body);
    }

    void lostAnswerTakesEffect()
    {
        PlatformStandin platform;
        CPPUNIT_ASSERT(platform.start());
        PlatformFaults faults;
        faults.lostAnswers = 1;
        faults.lostPrefix = "claims/";
        platform.setFaults(faults);
        const auto port = platform.port();
        CPPUNIT_ASSERT(plainHttp(port, putRequest("config/x", "1", "If-None-Match", "*")));
        CPPUNIT_ASSERT(!plainHttp(port, putRequest("claims/x", "1", "If-None-Match", "*")));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), platform.store().get("claims/x").value().value);
    }

    void outageAndRateLimitRefuse()
    {
        PlatformStandin platform;
        CPPUNIT_ASSERT(platform.start());
        const PlainRequest read{"GET", "/objects/a", {}, ""};
        PlatformFaults faults;
        faults.down = PlatformFaults::Down::Refuses;
        platform.setFaults(faults);
        CPPUNIT_ASSERT_EQUAL(503, plainHttp(platform.port(), read)->status);
        faults.down = PlatformFaults::Down::Cuts;
        platform.setFaults(faults);
        CPPUNIT_ASSERT(!plainHttp(platform.port(), read).has_value());
        faults.down = PlatformFaults::Down::No;
        faults.readsPerSecond = 0.001;
        platform.setFaults(faults);
        CPPUNIT_ASSERT_EQUAL(404, plainHttp(platform.port(), read)->status);
        CPPUNIT_ASSERT_EQUAL(429, plainHttp(platform.port(), read)->status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, platform.counters().at("get a"));
    }

    void applicationRunsOnceAndLosesItsAnswer()
    {
        ApplicationStandin application({});
        CPPUNIT_ASSERT(application.start());
        ApplicationFaults faults;
        faults.breaksBefore = 1;
        faults.breaksAfter = 1;
        application.setFaults(faults);
        const PlainRequest order{
                "POST", "/orders", {{"X-Request-Id", kId}, {"Idempotency-Key", "k1"}}, "{}"};
        CPPUNIT_ASSERT(!plainHttp(application.port(), order).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, application.runs().records().size());
        CPPUNIT_ASSERT(!plainHttp(application.port(), order).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, application.runs().records().size());
        CPPUNIT_ASSERT_EQUAL(std::string("k1"), application.runs().records()[0].idempotencyKey);
        CPPUNIT_ASSERT_EQUAL(200, plainHttp(application.port(), order)->status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinsTest);

} // namespace hawthornslip::standin
