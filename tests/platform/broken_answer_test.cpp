#include "drivers/asio/asio_event_loop.h"
#include "drivers/asio/asio_upstream_client.h"
#include "platform/node_registry.h"
#include "platform/object_feed.h"
#include "platform/object_store_client.h"
#include "platform/provider_client.h"
#include "tests/support/asio_loopback.h"
#include "tests/support/broken_answers.h"
#include "tests/support/raw_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>

namespace hawthornslip::platform {

using namespace test; // NOLINT(google-build-using-namespace)

namespace {

// What each call would take as its success, if the head were one.
const std::string kAnswerBody =
        R"({"as_of":1,"entries":[],"metadata":{"name":"a","revision":1},"spec":"v"})";

} // namespace

/** Bytes on the sockets of the store and of the provider that are no answer. */
class PlatformBrokenAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformBrokenAnswerTest);
    CPPUNIT_TEST(brokenAnswerChangesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an entry that counts as written, a list that counts as empty and a refusal
    // that counts as certain, and against waiting for the rest of such an answer.
    void brokenAnswerChangesNothing()
    {
        for (const auto &[head, end] : std::vector<std::pair<std::string, BodyEnd>>{
                     {"HTTP/1.1 000 Trouble", BodyEnd::Length},
                     {"HTTP/1.1 099 Trouble", BodyEnd::Close},
                     {"HTTP/1.1 999 Trouble", BodyEnd::Chunks},
                     {"HTTP/1.1 200 OK\r\nX Trouble: 1", BodyEnd::Length},
                     {"HTTP/1.1 409 Conflict\r\nX\x01Trouble: 1", BodyEnd::Close},
                     {"HTTP/1.1 503 Full\r\nX-Trouble : 1", BodyEnd::Chunks}}) {
            const auto answer = makeAnswer(head, "", end, kAnswerBody);
            RawServer server([&answer](RawConnection &it, int) {
                it.readMessage();
                it.send(answer.bytes);
                if (!answer.closes)
                    it.waitClosed();
            });
            const auto start = std::chrono::steady_clock::now();
            expectNoAnswer(server.url().substr(7), visible(answer.bytes));
            CPPUNIT_ASSERT_MESSAGE(visible(answer.bytes),
                                   std::chrono::steady_clock::now() - start < kAtOnce);
        }
    }

private:
    static void expectNoAnswer(const std::string &address, const std::string &text)
    {
        AsioEventLoop loop;
        AsioUpstreamClient client(loop, seconds(3));
        ObjectStoreClient store(client, address, seconds(10));
        ProviderClient provider(client, address, "n");
        ObjectNodeRegistry registry(client, address, FailureDomain("z"));
        const auto feed = makeConfigFeed(client, address);
        std::optional<StoreError> read;
        std::optional<StoreError> written;
        std::optional<ProviderResult> ordered;
        std::optional<bool> announced;
        std::optional<FeedError> listed;
        store.get("a/b", [&](const StoreResult &it) { read = it.error; });
        store.put("a/b", "v", 1, [&](const StoreResult &it) { written = it.error; });
        provider.reportUsage({}, 1, [&](ProviderResult it) { ordered = it; });
        registry.announce(address, [&](bool it) { announced = it; });
        feed->list("", [&](const FeedResult<RoutingConfig> &it) { listed = it.error; });
        runUntil(loop, [&] { return read && written && ordered && announced && listed; });
        CPPUNIT_ASSERT_MESSAGE(text, read == StoreError::Unavailable);
        CPPUNIT_ASSERT_MESSAGE(text, written == StoreError::Unknown);
        CPPUNIT_ASSERT_MESSAGE(text, ordered == ProviderResult::Unknown);
        CPPUNIT_ASSERT_MESSAGE(text, announced == false);
        CPPUNIT_ASSERT_MESSAGE(text, listed == FeedError::Unavailable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformBrokenAnswerTest);

} // namespace hawthornslip::platform
