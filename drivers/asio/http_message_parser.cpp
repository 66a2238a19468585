#include "drivers/asio/http_message_parser.h"

#include "core/ascii.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace hawthornslip {

namespace {

namespace http = boost::beast::http;

// Memory set aside at once for a body; a caller that announces more has to send it first.
constexpr std::uint64_t kLargestReserve = 64 << 10;
constexpr std::uint32_t kMaxHeadBytes = 32 << 10;
constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kLastStatus = 599;

std::string lowerCase(boost::beast::string_view text)
{
    return toLowerAscii({text.data(), text.size()});
}

} // namespace

void RequestParser::on_request_impl(Verb, View method, View target, int version, Error &)
{
    httpVersion = version;
    request.method = std::string(method);
    const auto mark = target.find('?');
    request.path = std::string(target.substr(0, mark));
    if (mark != View::npos)
        request.query = std::string(target.substr(mark + 1));
}

std::size_t RequestParser::heldBytes() const
{
    // The unused part of a large buffer takes no memory before it is written.
    const std::size_t body = std::max<std::size_t>(
            request.body.size(), std::min<std::size_t>(request.body.capacity(), kLargestReserve));
    return m_fieldBytes + request.headers.capacity() * sizeof(HttpHeaders::value_type) + body;
}

void RequestParser::addFieldBytes(std::size_t bytes, Error &ec)
{
    m_fieldBytes += bytes;
    if (m_fieldBytes > maxFieldBytes)
        ec = http::error::header_limit;
}

void RequestParser::on_field_impl(Field field, View name, View value, Error &ec)
{
    addFieldBytes(name.size() + value.size(), ec);
    if (ec)
        return;
    if (field == Field::expect)
        expectsContinue = lowerCase(value) == "100-continue";
    request.headers.emplace_back(lowerCase(name), std::string(value));
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &)
{
    if (length)
        request.body.reserve(std::min(*length, kLargestReserve));
    m_announcedBytes = length.value_or(0);
}

bool RequestParser::isFramingClear() const
{
    std::size_t lengths = 0;
    for (const auto &[name, value] : request.headers) {
        if (name == "transfer-encoding" && lowerCase(value) != "chunked")
            return false;
        lengths += name == "content-length" ? 1 : 0;
    }
    return lengths <= 1;
}

void RequestParser::appendBody(View piece)
{
    // A caller that has sent this much is believed; the memory is not touched before the bytes
    // come.
    if (request.body.size() + piece.size() > request.body.capacity())
        request.body.reserve(m_announcedBytes);
    request.body.append(piece.data(), piece.size());
}

std::size_t RequestParser::on_body_impl(View body, Error &)
{
    appendBody(body);
    return body.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t, View extensions, Error &ec)
{
    addFieldBytes(extensions.size(), ec);
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, View body, Error &)
{
    appendBody(body);
    return body.size();
}

AnswerParser::AnswerParser()
{
    eager(true);
    header_limit(kMaxHeadBytes);
    body_limit(boost::none);
}

std::size_t AnswerParser::read(std::string_view bytes, Error &ec)
{
    if (is_header_done() || bytes.find("\r\n\r\n") != std::string_view::npos)
        return put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
    // put() looks at an unfinished line only once and then waits for the end of the head.
    AnswerParser().put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
    return 0;
}

void AnswerParser::on_response_impl(int code, View, int, Error &ec)
{
    // No request asks for another protocol.
    if (code < kFirstStatus || code > kLastStatus || code == kSwitchingProtocols)
        ec = http::error::bad_status;
    else
        status = code;
}

void AnswerParser::on_field_impl(Field field, View name, View value, Error &ec)
{
    // The end of a body with another coding is not known, and its bytes would not be the content.
    if (field == Field::transfer_encoding && lowerCase(value) != "chunked") {
        ec = http::error::bad_transfer_encoding;
        return;
    }
    // Trailers are not relayed.
    if (!is_header_done())
        headers.emplace_back(lowerCase(name), std::string(value));
}

std::size_t AnswerParser::on_body_impl(View piece, Error &)
{
    body.append(piece.data(), piece.size());
    return piece.size();
}

std::size_t AnswerParser::on_chunk_body_impl(std::uint64_t, View piece, Error &)
{
    body.append(piece.data(), piece.size());
    return piece.size();
}

void appendAnswerHead(std::string &out, int status, const HttpHeaders &headers)
{
    const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
    fmt::format_to(std::back_inserter(out), "HTTP/1.1 {} {}\r\n", status,
                   std::string_view(reason.data(), reason.size()));
    for (const auto &[name, value] : headers) {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
}

} // namespace hawthornslip
