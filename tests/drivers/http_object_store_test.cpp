#include "drivers/object_store/http_object_store.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

class NullMetrics : public Metrics
{
public:
    void count(std::string_view, const MetricLabels &, double) override {}
    void gauge(std::string_view, const MetricLabels &, double) override {}
    void observe(std::string_view, const MetricLabels &, double) override {}
};

/** Answers each call at once with one prepared answer. */
class ScriptedClient : public UpstreamClient
{
public:
    std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                       std::shared_ptr<UpstreamHandler> handler) override
    {
        last = std::move(request);
        if (end.httpStatus != 0)
            handler->onHeaders(end.httpStatus, headers);
        if (!body.empty())
            handler->onData(body);
        handler->onEnd(end);
        return nullptr;
    }

    UpstreamRequest last;
    UpstreamEnd end;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

} // namespace

class HttpObjectStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpObjectStoreTest);
    CPPUNIT_TEST(writeCarriesItsCondition);
    CPPUNIT_TEST(uncertainWritesAreUnknown);
    CPPUNIT_TEST(refusedWritesAreCertain);
    CPPUNIT_TEST(readsHaveNoEffect);
    CPPUNIT_TEST(watchEndsWithoutChange);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a write without a condition, which would overwrite another node's.
    void writeCarriesItsCondition()
    {
        answer(200, "\"8\"");
        const auto result = put(7);
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, result.object.version);
        CPPUNIT_ASSERT_EQUAL(std::string("http://s/objects/claims/1%20a"), m_client.last.url);
        CPPUNIT_ASSERT(m_client.last.headers.front() ==
                       std::make_pair(std::string("If-Match"), std::string("\"7\"")));
        put(0);
        CPPUNIT_ASSERT(m_client.last.headers.front() ==
                       std::make_pair(std::string("If-None-Match"), std::string("*")));
    }

    // Guards against a write that took effect and is reported as one without effect.
    void uncertainWritesAreUnknown()
    {
        for (const int status : {200, 201, 304, 404, 500, 502, 504}) {
            answer(status, "");
            CPPUNIT_ASSERT(put(7).error == StoreError::Unknown);
        }
        for (const auto it :
             {UpstreamResult::Broken, UpstreamResult::FirstByteTimeout, UpstreamResult::IdleTimeout,
              UpstreamResult::TotalTimeout, UpstreamResult::Cancelled}) {
            m_client.end = {it, 0, ""};
            CPPUNIT_ASSERT(put(7).error == StoreError::Unknown);
            m_client.end = {it, 503, ""};
            CPPUNIT_ASSERT(put(7).error == StoreError::Unknown);
        }
    }

    // Guards against reads after each refusal that the store states to be without effect.
    void refusedWritesAreCertain()
    {
        answer(412, "\"9\"");
        CPPUNIT_ASSERT(put(7).error == StoreError::Conflict);
        answer(429, "");
        CPPUNIT_ASSERT(put(7).error == StoreError::RateLimited);
        answer(503, "");
        CPPUNIT_ASSERT(put(7).error == StoreError::Unavailable);
        m_client.end = {UpstreamResult::ConnectFailed, 0, ""};
        CPPUNIT_ASSERT(put(7).error == StoreError::Unavailable);
    }

    // Guards against a failed read that passes for an object or for its absence.
    void readsHaveNoEffect()
    {
        answer(200, "\"3\"");
        m_client.body = "value";
        auto result = get();
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("value"), result.object.value);
        answer(404, "");
        CPPUNIT_ASSERT(get().error == StoreError::NotFound);
        answer(200, "\"x\"");
        CPPUNIT_ASSERT(get().error == StoreError::Unavailable);
        m_client.end = {UpstreamResult::Broken, 200, ""};
        CPPUNIT_ASSERT(get().error == StoreError::Unavailable);
    }

    // Guards against a quiet watch that is taken for a deleted object.
    void watchEndsWithoutChange()
    {
        StoreResult result;
        const auto keep = [&](const StoreResult &it) { result = it; };
        answer(304, "");
        m_store.watch("config/current", 5, seconds(30), keep);
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, result.object.version);
        CPPUNIT_ASSERT_EQUAL(
                std::string("http://s/objects/config/current?after=5&timeout_ms=30000"),
                m_client.last.url);
        CPPUNIT_ASSERT(m_client.last.totalTimeout == seconds(32));
        m_store.watch("config/current", 0, seconds(30), keep);
        CPPUNIT_ASSERT(result.error == StoreError::NotFound);
    }

private:
    void answer(int status, const std::string &etag)
    {
        m_client.end = {UpstreamResult::Complete, status, ""};
        m_client.headers.clear();
        if (!etag.empty())
            m_client.headers.emplace_back("etag", etag);
    }

    StoreResult put(std::uint64_t version)
    {
        StoreResult result;
        m_store.put("claims/1 a", "x", version, [&](const StoreResult &it) { result = it; });
        return result;
    }

    StoreResult get()
    {
        StoreResult result;
        m_store.get("claims/1", [&](const StoreResult &it) { result = it; });
        return result;
    }

    NullMetrics m_metrics;
    ScriptedClient m_client;
    HttpObjectStore m_store{m_client, m_metrics, "http://s", seconds(2)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpObjectStoreTest);

} // namespace hawthornslip
