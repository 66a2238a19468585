#include "platform/object_feed.h"
#include "servers/peers/load_report_codec.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace {

using namespace hawthornslip; // NOLINT(google-build-using-namespace)

/** Answers each call with the same body. */
class OnePageStore : public UpstreamClient
{
public:
    explicit OnePageStore(std::string body)
        : m_body(std::move(body))
    {}

    std::shared_ptr<UpstreamCall> send(UpstreamRequest,
                                       std::shared_ptr<UpstreamHandler> handler) override
    {
        handler->onData(m_body);
        handler->onEnd({UpstreamResult::Complete, 200, "", false});
        return nullptr;
    }

private:
    std::string m_body;
};

} // namespace

/** Reads arbitrary bytes as an object or a page of the store and as a peer's report. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    platform::decodeRelayedConfig({"main", false, bytes});
    platform::decodeRelayedUpstream({"i-1", false, bytes});
    platform::decodeRelayedNode({"n", false, bytes});
    const std::string object = R"({"metadata":{"name":"n"},"spec":)" + bytes + "}";
    for (const auto &page : {bytes, R"({"as_of":1,"entries":[)" + object + "]}"}) {
        OnePageStore store(page);
        platform::makeUpstreamFeed(store, "a:1")->list("", [](const auto &) {});
    }
    decodeReport(bytes, TimePoint());
    return 0;
}
