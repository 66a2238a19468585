#pragma once

#include "core/interfaces/http_server.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornslip {

/** Reads one request from bytes; the body is collected whole. */
class RequestParser : public boost::beast::http::basic_parser<true>
{
public:
    using Error = boost::beast::error_code;

    HttpRequest request;
    /** The caller waits for a go-ahead before it sends the body. */
    bool expectsContinue = false;
    /** 10 or 11. */
    int httpVersion = 11;

    /** Total bytes that header fields, trailers and chunk extensions may have. */
    std::size_t maxFieldBytes = SIZE_MAX;

    /** @return bytes of memory that the request takes so far. */
    std::size_t heldBytes() const;

    /** @return false when another server could see the end of the body at another place. */
    bool isFramingClear() const;

private:
    using Verb = boost::beast::http::verb;
    using Field = boost::beast::http::field;
    using View = boost::beast::string_view;

    void on_request_impl(Verb verb, View method, View target, int version, Error &ec) override;
    void on_response_impl(int, View, int, Error &) override {}
    void on_field_impl(Field field, View name, View value, Error &ec) override;
    void on_header_impl(Error &) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &ec) override;
    std::size_t on_body_impl(View body, Error &ec) override;
    void on_chunk_header_impl(std::uint64_t size, View extensions, Error &ec) override;
    std::size_t on_chunk_body_impl(std::uint64_t remain, View body, Error &ec) override;
    void on_finish_impl(Error &) override {}

    void addFieldBytes(std::size_t bytes, Error &ec);
    void appendBody(View piece);

    std::size_t m_fieldBytes = 0;
    std::uint64_t m_announcedBytes = 0;
};

/**
 * Reads one answer from bytes; the body is handed on as it comes. Bytes that are no HTTP/1 answer,
 * or whose end is told in two ways, are an error.
 */
class AnswerParser : public boost::beast::http::basic_parser<false>
{
public:
    using Error = boost::beast::error_code;

    AnswerParser();

    /**
     * Reads from @p bytes. An unfinished head is read only once it is whole, but what cannot be the
     * beginning of one is an error at once.
     *
     * @param ec @c need_more when the bytes are sound and unfinished.
     * @return the number of bytes that were read; the others are to be passed again with more.
     */
    std::size_t read(std::string_view bytes, Error &ec);

    /** From 100 to 599; 0 before the status line was read. */
    int status = 0;
    HttpHeaders headers;
    /** Bytes of the body that were read and not yet taken. */
    std::string body;

private:
    using Verb = boost::beast::http::verb;
    using Field = boost::beast::http::field;
    using View = boost::beast::string_view;

    void on_request_impl(Verb, View, View, int, Error &) override {}
    void on_response_impl(int code, View reason, int version, Error &ec) override;
    void on_field_impl(Field field, View name, View value, Error &ec) override;
    void on_header_impl(Error &) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t> &, Error &) override {}
    std::size_t on_body_impl(View piece, Error &ec) override;
    void on_chunk_header_impl(std::uint64_t, View, Error &) override {}
    std::size_t on_chunk_body_impl(std::uint64_t remain, View piece, Error &ec) override;
    void on_finish_impl(Error &) override {}
};

/** Appends the head of an answer with its framing to @p out. */
void appendAnswerHead(std::string &out, int status, const HttpHeaders &headers);

} // namespace hawthornslip
