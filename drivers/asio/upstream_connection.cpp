#include "drivers/asio/upstream_connection.h"

#include "core/logger.h"
#include "drivers/asio/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <exception>
#include <utility>

namespace hawthornslip {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// A back end closes an idle connection at its stated time; ours ends earlier, since a request that
// crosses that close may have run or not.
constexpr Duration kReuseMargin = milliseconds(700);
// Longer times are as good as none.
constexpr std::int64_t kLongestKeepAliveSeconds = 3600;
constexpr int kFirstFinalStatus = 200;
// Bytes before the answer, such as interim answers and late copies of earlier answers. A copy is as
// long as an answer; more than this is a faulty upstream.
constexpr std::size_t kMaxDiscardedBytes = 512 << 10;
// Bytes that were read and not yet taken.
constexpr std::size_t kMaxUnparsedBytes = 192 << 10;
// Unfinished line of a chunk, or unfinished trailers.
constexpr std::size_t kMaxUnfinishedBytes = 16 << 10;

} // namespace

UpstreamConnection::UpstreamConnection(AsioUpstreamClient &client, std::string address)
    : m_client(client)
    , m_address(std::move(address))
    , m_socket(client.m_loop.context())
    , m_charge(client.m_loop, *this)
{}

std::uint64_t UpstreamConnection::start(UpstreamRequest request, std::string target,
                                        std::shared_ptr<UpstreamHandler> handler)
{
    m_request = std::move(request);
    m_handler = std::move(handler);
    m_closing = false;
    m_paused = false;
    m_written = 0;
    m_discardedBytes = 0;
    m_isNamed = true;
    resetParser();
    buildMessage(target);
    armTimers();
    const std::uint64_t number = ++m_call;
    if (m_connected) {
        // A failure is reported from the loop, so that the sender has its call by then.
        boost::asio::post(m_client.m_loop.context(), [self = shared_from_this(), number] {
            if (self->m_call == number && self->m_handler)
                self->writeMessage();
        });
    } else {
        connect();
    }
    return number;
}

void UpstreamConnection::cancel(std::uint64_t number)
{
    if (number != m_call || !m_handler)
        return;
    finish(UpstreamResult::Cancelled, "cancelled");
}

void UpstreamConnection::resume(std::uint64_t number)
{
    if (number != m_call || !m_paused)
        return;
    m_paused = false;
    const auto self = shared_from_this();
    if (deliverBody())
        onBytes();
    updateCharge();
    waitReadable();
}

void UpstreamConnection::close()
{
    shut();
    m_client.drop(shared_from_this());
}

void UpstreamConnection::armTimers()
{
    const std::uint64_t number = m_call + 1;
    const auto expire = [this, number](UpstreamResult result, Duration span) {
        return m_client.m_loop.after(span, [self = shared_from_this(), number, result] {
            if (self->m_call == number && self->m_handler)
                self->finish(result, "timed out");
        });
    };
    if (!m_connected && m_request.connectTimeout > Duration(0))
        m_connectTimer = expire(UpstreamResult::ConnectFailed, m_request.connectTimeout);
    if (m_request.totalTimeout > Duration(0))
        m_totalTimer = expire(UpstreamResult::TotalTimeout, m_request.totalTimeout);
}

void UpstreamConnection::waitReadable()
{
    if (m_waitingReadable || m_closed || m_paused)
        return;
    m_waitingReadable = true;
    m_socket.async_wait(boost::asio::socket_base::wait_read,
                        [self = shared_from_this()](const error_code &ec) {
                            self->m_waitingReadable = false;
                            if (!ec)
                                self->onReadable();
                        });
}

void UpstreamConnection::onReadable()
{
    if (m_closed || m_paused)
        return;
    auto &scratch = m_client.m_loop.scratch();
    error_code ec;
    const std::size_t n = m_socket.read_some(boost::asio::buffer(scratch), ec);
    if (ec == boost::asio::error::would_block) {
        waitReadable();
        return;
    }
    if (!m_handler) {
        // Bytes on an idle connection belong to no request.
        if (!ec)
            logEvent(LogLevel::Info, "idle_bytes_dropped", {{"upstream", m_address}, {"bytes", n}});
        close();
        return;
    }
    if (ec) {
        onPeerClosed(ec == boost::asio::error::eof);
        return;
    }
    m_in.append(scratch.data(), n);
    onBytes();
    trimBuffer(m_in);
    updateCharge();
    waitReadable();
}

void UpstreamConnection::onBytes()
{
    const auto self = shared_from_this();
    try {
        deliver();
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, "unexpected_error",
                 {{"upstream", m_address}, {"error", error.what()}});
        finish(UpstreamResult::Broken, "unexpected error");
    }
}

void UpstreamConnection::deliver()
{
    while (m_handler && !m_paused && parseStep()) {
    }
}

bool UpstreamConnection::parseStep()
{
    AnswerParser::Error ec;
    const std::size_t n = m_parser->read(m_in, ec);
    m_in.erase(0, n);
    if (ec && ec != http::error::need_more) {
        finish(UpstreamResult::Broken, ec.message());
        return false;
    }
    const bool isUnfinished = n == 0 && m_parser->is_header_done();
    if (!isWithinLimits(n) || (isUnfinished && m_in.size() > kMaxUnfinishedBytes)) {
        finish(UpstreamResult::Broken, "too many bytes outside the answer");
        return false;
    }
    if (!m_parser->is_header_done())
        return n > 0 && !m_in.empty();
    if (m_parser->status < kFirstFinalStatus || isForeignAnswer()) {
        m_parser->body.clear();
        if (m_parser->is_done())
            resetParser();
        return n > 0 && !m_in.empty();
    }
    if (!m_headDelivered && m_isReused && !isNamedAnswer()) {
        // It may as well be a second copy of an earlier answer.
        finish(UpstreamResult::Broken, "an answer that names no request");
        return false;
    }
    if (!deliverHead() || !deliverBody())
        return false;
    if (m_parser->is_done()) {
        onAnswerDone();
        return false;
    }
    return n > 0 && !m_in.empty();
}

bool UpstreamConnection::isWithinLimits(std::size_t consumed)
{
    const bool isAnswer = m_parser->is_header_done() && m_parser->status >= kFirstFinalStatus &&
                          !isForeignAnswer();
    if (!isAnswer)
        m_discardedBytes += consumed;
    return m_discardedBytes <= kMaxDiscardedBytes && m_in.size() <= kMaxUnparsedBytes;
}

bool UpstreamConnection::deliverHead()
{
    if (m_headDelivered)
        return true;
    m_headDelivered = true;
    m_closing = m_closing || !m_parser->keep_alive();
    noteKeepAlive();
    m_isNamed = isNamedAnswer();
    const auto handler = m_handler;
    handler->onHeaders(m_parser->status, m_parser->headers);
    return m_handler != nullptr;
}

bool UpstreamConnection::deliverBody()
{
    if (!m_handler)
        return false;
    if (m_parser->body.empty())
        return true;
    const auto handler = m_handler;
    const std::string piece = std::move(m_parser->body);
    m_parser->body.clear();
    if (!handler->onData(piece)) {
        if (m_handler) {
            m_paused = true;
            m_parser->body = piece;
        }
        return false;
    }
    return m_handler != nullptr;
}

void UpstreamConnection::onAnswerDone()
{
    // If an answer does not name its request, a second copy could not be told from the next answer.
    const bool reusable = !m_closing && m_isNamed && m_in.empty() && isRequestWritten();
    if (!m_in.empty())
        logEvent(LogLevel::Info, "extra_bytes_dropped",
                 {{"upstream", m_address}, {"bytes", m_in.size()}});
    if (!reusable) {
        finish(UpstreamResult::Complete, "");
        return;
    }
    const auto self = shared_from_this();
    m_client.m_loop.cancel(std::exchange(m_totalTimer, 0));
    const auto handler = std::exchange(m_handler, nullptr);
    const int status = m_parser->status;
    m_out.clear();
    m_largeBody = {};
    m_charge.set(0);
    m_isReused = true;
    m_lastTag = std::move(m_request.tag);
    m_request = UpstreamRequest{};
    m_idleSince = m_client.m_loop.now();
    m_usableUntil = m_keepAlive == Duration::max() ? TimePoint::max() : m_idleSince + m_keepAlive;
    m_client.release(self);
    handler->onEnd({UpstreamResult::Complete, status, "", false});
}

void UpstreamConnection::onPeerClosed(bool clean)
{
    if (!clean) {
        finish(UpstreamResult::Broken, "connection reset");
        return;
    }
    // Only a body without a length ends with the connection. A peer that has not read the request
    // did not end its answer but its process; a write may have taken the error of the reset.
    m_endedByClose = m_headDelivered && m_parser->need_eof() && isRequestReceived();
    finish(m_endedByClose ? UpstreamResult::Complete : UpstreamResult::Broken,
           m_endedByClose ? "" : "connection closed early");
}

void UpstreamConnection::noteKeepAlive()
{
    constexpr std::string_view kTimeout = "timeout=";
    m_keepAlive = Duration::max();
    const auto *text = findHeader(m_parser->headers, "keep-alive");
    if (text == nullptr)
        return;
    const auto at = text->find(kTimeout);
    if (at == std::string::npos)
        return;
    std::int64_t n = 0;
    const char *begin = text->data() + at + kTimeout.size();
    if (std::from_chars(begin, text->data() + text->size(), n).ec == std::errc{} && n >= 0)
        m_keepAlive = seconds(std::min(n, kLongestKeepAliveSeconds)) - kReuseMargin;
}

bool UpstreamConnection::isRequestWritten() const
{
    return m_written == m_out.size() + m_largeBody.size();
}

bool UpstreamConnection::isRequestReceived()
{
    return isRequestWritten() && unacknowledgedBytes(m_socket.native_handle()) == 0;
}

bool UpstreamConnection::mayServe(const std::string &tag)
{
    if (!tag.empty() && tag == m_lastTag)
        return false;
    std::array<char, 1> byte{};
    const auto n =
            recv(m_socket.native_handle(), byte.data(), byte.size(), MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool UpstreamConnection::isForeignAnswer() const
{
    if (m_headDelivered || m_request.tagHeader.empty())
        return false;
    const auto *tag = findHeader(m_parser->headers, m_request.tagHeader);
    return tag != nullptr && *tag != m_request.tag;
}

bool UpstreamConnection::isNamedAnswer() const
{
    return m_request.tag.empty() || findHeader(m_parser->headers, m_request.tagHeader) != nullptr;
}

void UpstreamConnection::resetParser()
{
    m_headDelivered = false;
    m_parser = std::make_unique<AnswerParser>();
    m_parser->skip(m_request.method == "HEAD");
}

void UpstreamConnection::finish(UpstreamResult result, std::string message)
{
    const auto self = shared_from_this();
    const auto handler = std::exchange(m_handler, nullptr);
    // A head that was not delivered may hold a status that its answer does not have.
    const int status = m_headDelivered ? m_parser->status : 0;
    const bool closing = m_closing && result == UpstreamResult::Complete;
    shut();
    if (handler)
        handler->onEnd({result, status, std::move(message), closing, m_endedByClose});
}

void UpstreamConnection::reclaimBytes()
{
    boost::asio::post(m_client.m_loop.context(), [self = shared_from_this(), call = m_call] {
        if (call == self->m_call && self->m_handler)
            self->finish(UpstreamResult::Broken, "memory is full");
        else if (!self->m_handler)
            self->m_charge.set(0);
    });
}

void UpstreamConnection::updateCharge()
{
    if (m_handler)
        m_charge.set(m_in.capacity() + m_out.capacity() + m_parser->body.capacity() +
                     m_handler->heldBytes());
}

void UpstreamConnection::shut()
{
    m_closed = true;
    m_charge.set(0);
    m_in = {};
    m_out = {};
    m_largeBody = {};
    m_request.sharedBody.reset();
    m_client.m_loop.cancel(std::exchange(m_connectTimer, 0));
    m_client.m_loop.cancel(std::exchange(m_totalTimer, 0));
    error_code ec;
    m_socket.close(ec);
}

} // namespace hawthornslip
