#include "drivers/asio/http_message_parser.h"
#include "modules/relay/event_splitter.h"
#include "platform/wire_headers.h"

#include <boost/asio/buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace {

template <typename Parser>
void feed(Parser &parser, std::string_view bytes)
{
    parser.eager(true);
    parser.body_limit(1 << 20);
    while (!bytes.empty() && !parser.is_done()) {
        boost::beast::error_code ec;
        const std::size_t n = parser.put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
        if (ec || n == 0)
            return;
        bytes.remove_prefix(n);
    }
}

} // namespace

/** Reads arbitrary bytes as a request, as an answer and as a stream of events. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hawthornslip; // NOLINT(google-build-using-namespace)
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    RequestParser request;
    feed(request, bytes);
    static_cast<void>(request.isFramingClear());
    static_cast<void>(platform::WireHeaders().readRequest(request.request.headers));
    AnswerParser answer;
    feed(answer, bytes);
    static_cast<void>(platform::WireHeaders().readResponse(answer.status, answer.headers));
    EventSplitter splitter;
    splitter.add(bytes.substr(0, size / 2), [](const StreamEvent &) {});
    splitter.add(bytes.substr(size / 2), [](const StreamEvent &) {});
    return 0;
}
