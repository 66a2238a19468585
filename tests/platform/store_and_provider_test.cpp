#include "platform/object_store_client.h"
#include "platform/provider_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace hawthornslip::platform {

namespace {

/** Ends each call as a test says, and keeps the last request. */
class OneAnswerClient : public UpstreamClient
{
public:
    std::shared_ptr<UpstreamCall> send(UpstreamRequest sent,
                                       std::shared_ptr<UpstreamHandler> handler) override
    {
        request = std::move(sent);
        if (end.httpStatus != 0)
            handler->onHeaders(end.httpStatus, headers);
        handler->onData(body);
        handler->onEnd(end);
        return nullptr;
    }

    UpstreamRequest request;
    UpstreamEnd end{UpstreamResult::Complete, 200, "", false};
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/** How one end of a write is told. */
struct WriteCase
{
    UpstreamResult result;
    int status;
    StoreError error;
};

} // namespace

/** The router's own objects in the store, and the calls of the holder of a duty. */
class StoreAndProviderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreAndProviderTest);
    CPPUNIT_TEST(writesAreConditional);
    CPPUNIT_TEST(onlyARefusedWriteCountsAsNotDone);
    CPPUNIT_TEST(readsValueRevisionAndEra);
    CPPUNIT_TEST(unreadableAnswersAreNoSuccess);
    CPPUNIT_TEST(callsNameHolderAndGeneration);
    CPPUNIT_TEST(callWithoutAnswerMayHaveBeenDone);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a write that replaces another node's record.
    void writesAreConditional()
    {
        OneAnswerClient client;
        ObjectStoreClient store(client, "10.0.0.2:90", seconds(1));
        store.put("router-duties/holder-1", "{}", 0, [](const StoreResult &) {});
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), client.request.method);
        CPPUNIT_ASSERT_EQUAL(std::string("http://10.0.0.2:90/objects/router-duties"),
                             client.request.url);
        CPPUNIT_ASSERT_EQUAL(
                std::string("holder-1"),
                nlohmann::json::parse(client.request.body)["metadata"]["name"].get<std::string>());
        store.put("router-duties/holder-1", "{}", 41, [](const StoreResult &) {});
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), client.request.method);
        CPPUNIT_ASSERT_EQUAL(
                41U,
                nlohmann::json::parse(client.request.body)["metadata"]["revision"].get<unsigned>());
        CPPUNIT_ASSERT(client.request.sendOnce);
    }

    // Guards against a write that has happened and counts as failed.
    void onlyARefusedWriteCountsAsNotDone()
    {
        const std::vector<WriteCase> cases = {
                {UpstreamResult::ConnectFailed, 0, StoreError::Unavailable},
                {UpstreamResult::Broken, 0, StoreError::Unknown},
                {UpstreamResult::TotalTimeout, 0, StoreError::Unknown},
                {UpstreamResult::Complete, 503, StoreError::Unavailable},
                {UpstreamResult::Complete, 429, StoreError::RateLimited},
                {UpstreamResult::Complete, 409, StoreError::Conflict},
                {UpstreamResult::Complete, 404, StoreError::NotFound},
                {UpstreamResult::Complete, 500, StoreError::Unknown},
                {UpstreamResult::Complete, 200, StoreError::Unknown}};
        for (const auto &it : cases) {
            OneAnswerClient client;
            client.end = {it.result, it.status, "", false};
            ObjectStoreClient store(client, "10.0.0.2:90", seconds(1));
            StoreError error = StoreError::None;
            store.put("k/n", "{}", 7,
                      [&error](const StoreResult &result) { error = result.error; });
            CPPUNIT_ASSERT(error == it.error);
        }
    }

    void readsValueRevisionAndEra()
    {
        OneAnswerClient client;
        client.headers = {{"store-era", "3"}};
        client.body = R"({"metadata":{"name":"n","revision":12},"spec":"{\"a\":1}"})";
        ObjectStoreClient store(client, "10.0.0.2:90", seconds(1));
        StoreResult read;
        store.get("k/n", [&read](const StoreResult &result) { read = result; });
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, read.object.version);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"a":1})"), read.object.value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, read.era.value());
    }

    // Guards against a missing revision that makes the next write unconditional.
    void unreadableAnswersAreNoSuccess()
    {
        for (const auto *body : {"", "[]", "{}", R"({"metadata":{"revision":"12"}})",
                                 R"({"metadata":{"revision":-1}})", R"({"metadata":7})"}) {
            OneAnswerClient client;
            client.body = body;
            ObjectStoreClient store(client, "10.0.0.2:90", seconds(1));
            StoreError error = StoreError::None;
            store.get("k/n", [&error](const StoreResult &result) { error = result.error; });
            CPPUNIT_ASSERT(error == StoreError::Unavailable);
        }
    }

    // Guards against calls that the provider cannot fence.
    void callsNameHolderAndGeneration()
    {
        OneAnswerClient client;
        ProviderClient provider(client, "10.0.0.3:91", "node-1");
        provider.orderCapacity({"s", FailureDomain("d"), 6, true}, 12, [](ProviderResult) {});
        CPPUNIT_ASSERT_EQUAL(std::string("http://10.0.0.3:91/scale"), client.request.url);
        const std::vector<std::pair<std::string, std::string>> fenced = {
                {"X-Hawthornslip-Duty-Holder", "node-1"}, {"X-Hawthornslip-Fencing-Token", "12"}};
        for (const auto &it : fenced)
            CPPUNIT_ASSERT(std::find(client.request.headers.begin(), client.request.headers.end(),
                                     it) != client.request.headers.end());
        const auto order = nlohmann::json::parse(client.request.body);
        CPPUNIT_ASSERT_EQUAL(6U, order["desired"].get<unsigned>());
        CPPUNIT_ASSERT(order["spot"].get<bool>());
        provider.reportUsage({7, {{"w", 3}}}, 12, [](ProviderResult) {});
        const auto usage = nlohmann::json::parse(client.request.body);
        CPPUNIT_ASSERT_EQUAL(7U, usage["window_id"].get<unsigned>());
        CPPUNIT_ASSERT_EQUAL(3U, usage["counts"]["w"].get<unsigned>());
    }

    // Guards against a call that counts as refused and is carried out seconds later.
    void callWithoutAnswerMayHaveBeenDone()
    {
        const std::vector<std::pair<UpstreamEnd, ProviderResult>> cases = {
                {{UpstreamResult::ConnectFailed, 0, "", false}, ProviderResult::Unavailable},
                {{UpstreamResult::TotalTimeout, 0, "", false}, ProviderResult::Unknown},
                {{UpstreamResult::Broken, 200, "", false}, ProviderResult::Unknown},
                {{UpstreamResult::Complete, 409, "", false}, ProviderResult::Conflict},
                {{UpstreamResult::Complete, 429, "", false}, ProviderResult::RateLimited},
                {{UpstreamResult::Complete, 500, "", false}, ProviderResult::Unknown},
                {{UpstreamResult::Complete, 200, "", false}, ProviderResult::Accepted}};
        for (const auto &[end, expected] : cases) {
            OneAnswerClient client;
            client.end = end;
            ProviderClient provider(client, "10.0.0.3:91", "node-1");
            std::optional<ProviderResult> result;
            provider.reportUsage({7, {}}, 1, [&result](ProviderResult it) { result = it; });
            CPPUNIT_ASSERT(result == expected);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreAndProviderTest);

} // namespace hawthornslip::platform
