#include "drivers/http/ulfius_messages.h"

#include "core/ascii.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <ulfius.h>

#include <array>
#include <chrono>
#include <memory>
#include <string_view>
#include <utility>

namespace hawthornslip {

namespace {

constexpr std::size_t kStreamBlockBytes = 16 << 10;

std::string textOf(const char *text)
{
    return text == nullptr ? std::string() : std::string(text);
}

/** A streamed answer and the connection that it is sent on. */
struct ConnectionStream
{
    std::unique_ptr<HttpBodySource> source;
    AnswerConnection answer;

    HttpBodyRead read(char *room, std::size_t size) const
    {
        using Clock = std::chrono::steady_clock;
        const auto start = Clock::now();
        const auto result = source->read(room, size);
        // The wait for a piece is not the client's silence. Short waits are not worth the call.
        if (Clock::now() - start >= std::chrono::milliseconds(500))
            restartIdleTimeout(answer.connection, answer.idleSeconds);
        return result;
    }
};

ssize_t readStream(void *stream, std::uint64_t /*offset*/, char *room, std::size_t size)
{
    const auto &it = *static_cast<const ConnectionStream *>(stream);
    const auto result = it.read(room, size);
    switch (result.state) {
    case HttpBodyRead::State::More:
        return static_cast<ssize_t>(result.bytes);
    case HttpBodyRead::State::End:
        return U_STREAM_END;
    case HttpBodyRead::State::Broken:
        break;
    }
    if (it.answer.onBroken)
        it.answer.onBroken();
    return U_STREAM_ERROR;
}

void freeStream(void *stream)
{
    delete static_cast<ConnectionStream *>(stream);
}

} // namespace

HttpRequest convertRequest(const _u_request &from, std::size_t &headerBytes)
{
    HttpRequest request;
    request.method = textOf(from.http_verb);
    const std::string url = textOf(from.http_url);
    headerBytes = url.size();
    const auto mark = url.find('?');
    request.path = url.substr(0, mark);
    if (mark != std::string::npos)
        request.query = url.substr(mark + 1);
    const char **names = u_map_enum_keys(from.map_header);
    for (int i = 0; names != nullptr && names[i] != nullptr; ++i) {
        request.headers.emplace_back(toLowerAscii(names[i]),
                                     textOf(u_map_get(from.map_header, names[i])));
        headerBytes += request.headers.back().first.size() + request.headers.back().second.size();
    }
    if (from.binary_body != nullptr)
        request.body.assign(static_cast<const char *>(from.binary_body), from.binary_body_length);
    if (from.client_address != nullptr) {
        const auto *address = reinterpret_cast<const sockaddr_in *>(from.client_address);
        std::array<char, INET_ADDRSTRLEN> text{};
        inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
        request.clientAddress =
                std::string(text.data()) + ':' + std::to_string(ntohs(address->sin_port));
    }
    return request;
}

bool asksForClose(const _u_request &from)
{
    const auto connection = toLowerAscii(textOf(u_map_get_case(from.map_header, "connection")));
    if (connection.find("close") != std::string::npos)
        return true;
    return textOf(from.http_protocol) == "HTTP/1.0" &&
           connection.find("keep-alive") == std::string::npos;
}

void restartIdleTimeout(MHD_Connection *connection, unsigned seconds)
{
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, seconds);
}

void fillResponse(_u_response &response, HttpResponse &answer, AnswerConnection connection)
{
    for (const auto &[name, value] : answer.headers)
        ulfius_add_header_to_response(&response, name.c_str(), value.c_str());
    if (answer.close)
        ulfius_add_header_to_response(&response, "Connection", "close");
    if (connection.promisedSeconds > 0)
        ulfius_add_header_to_response(
                &response, "Keep-Alive",
                fmt::format("timeout={}", connection.promisedSeconds).c_str());
    const auto status = static_cast<unsigned>(answer.status);
    if (answer.stream) {
        ulfius_set_stream_response(
                &response, status, &readStream, &freeStream, U_STREAM_SIZE_UNKNOWN,
                kStreamBlockBytes,
                new ConnectionStream{std::move(answer.stream), std::move(connection)});
    } else if (answer.body.empty()) {
        ulfius_set_empty_body_response(&response, status);
    } else {
        ulfius_set_binary_body_response(&response, status, answer.body.data(), answer.body.size());
    }
}

} // namespace hawthornslip
