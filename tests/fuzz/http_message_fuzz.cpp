#include "drivers/asio/http_message_parser.h"
#include "modules/relay/event_splitter.h"
#include "platform/wire_headers.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
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

/** Reads an answer from bytes that arrive in two parts. */
void feedAnswer(hawthornslip::AnswerParser &parser, std::string_view bytes)
{
    constexpr int kFirstStatus = 100;
    constexpr int kLastStatus = 599;
    std::string in;
    boost::beast::error_code ec;
    for (const auto part : {bytes.substr(0, bytes.size() / 2), bytes.substr(bytes.size() / 2)}) {
        in += part;
        for (std::size_t n = 1; n > 0 && !in.empty() && !parser.is_done();) {
            n = parser.read(in, ec);
            in.erase(0, n);
            if (ec && ec != boost::beast::http::error::need_more)
                return;
        }
    }
    if (parser.is_header_done() && (parser.status < kFirstStatus || parser.status > kLastStatus))
        std::abort();
}

constexpr std::size_t kMaxFieldBytes = 16 << 10;

/** Ends the program when a request holds more than it states, or more fields than it may. */
void checkHeldBytes(const hawthornslip::RequestParser &parser)
{
    std::size_t fields = 0;
    for (const auto &[name, value] : parser.request.headers)
        fields += name.size() + value.size();
    if (fields > kMaxFieldBytes || fields + parser.request.body.size() > parser.heldBytes())
        std::abort();
}

} // namespace

/** Reads arbitrary bytes as a request, as an answer and as a stream of events. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hawthornslip; // NOLINT(google-build-using-namespace)
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    RequestParser request;
    request.maxFieldBytes = kMaxFieldBytes;
    feed(request, bytes);
    checkHeldBytes(request);
    static_cast<void>(request.isFramingClear());
    static_cast<void>(platform::WireHeaders().readRequest(request.request.headers));
    AnswerParser answer;
    feedAnswer(answer, bytes);
    static_cast<void>(platform::WireHeaders().readResponse(answer.status, answer.headers));
    EventSplitter splitter;
    splitter.add(bytes.substr(0, size / 2), [](const StreamEvent &) {});
    splitter.add(bytes.substr(size / 2), [](const StreamEvent &) {});
    return 0;
}
