#include "drivers/asio/server_connection.h"

#include "core/logger.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace hawthornslip {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Bytes of pipelined requests that are kept while an answer is in progress.
constexpr std::size_t kMaxPipelined = 64 << 10;
// How long a closing connection waits for the caller's end, so that no answer is lost by a reset.
constexpr Duration kLinger = seconds(1);
// A request below this size is small: it is read also while memory is short.
constexpr std::size_t kSmallRequestBytes = 64 << 10;
// Smaller bodies are charged to their connection.
constexpr std::size_t kBodyChargedApart = 16 << 10;
constexpr int kHeadersTooLarge = 431;
constexpr int kHttp11 = 11;
constexpr int kUnavailable = 503;
constexpr int kBadRequest = 400;

} // namespace

/** The writer that an exchange holds for one request of the connection. */
class ServerConnection::Answer : public ResponseWriter
{
public:
    Answer(std::shared_ptr<ServerConnection> connection, std::uint64_t request)
        : m_connection(std::move(connection))
        , m_request(request)
    {}

    void begin(int status, const HttpHeaders &headers, std::optional<std::size_t> length) override
    {
        if (isCurrent())
            m_connection->beginAnswer(status, headers, length);
    }

    void write(std::string_view piece) override
    {
        if (isCurrent())
            m_connection->writeBody(piece);
    }

    void end() override
    {
        if (isCurrent())
            m_connection->endAnswer();
    }

    void abort() override
    {
        if (isCurrent()) {
            m_connection->m_events.reset();
            m_connection->close(ConnectionEndCause::AnswerBroken);
        }
    }

    std::size_t unsentBytes() const override
    {
        return isCurrent() ? m_connection->m_out.size() : 0;
    }

private:
    bool isCurrent() const
    {
        return m_connection->m_request == m_request && m_connection->m_stage == Stage::Answering &&
               !m_connection->m_answerEnded;
    }

    std::shared_ptr<ServerConnection> m_connection;
    std::uint64_t m_request;
};

ServerConnection::ServerConnection(AsioHttpServer &server, boost::asio::ip::tcp::socket socket)
    : m_server(server)
    , m_socket(std::move(socket))
    , m_charge(server.m_loop, *this)
{}

void ServerConnection::start(AsioHttpServer::Connections::iterator place)
{
    m_place = place;
    becomeIdle();
    waitReadable();
}

void ServerConnection::close(ConnectionEndCause cause)
{
    if (m_stage == Stage::Closed)
        return;
    const auto self = shared_from_this();
    if (m_stage != Stage::Closing)
        m_end = describeEnd(cause);
    if (m_hasWriteFailed)
        m_end.cause = ConnectionEndCause::CallerClosed;
    auto &list = m_stage == Stage::Answering ? m_server.m_busy : m_server.m_idle;
    list.erase(m_place);
    const bool isIncomplete =
            m_stage == Stage::Answering && m_endsWithClose && (!m_answerEnded || !m_out.empty());
    m_stage = Stage::Closed;
    m_charge.set(0);
    m_server.m_loop.cancel(m_timer);
    error_code ec;
    if (isIncomplete)
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    m_socket.close(ec);
    m_server.m_sink.onConnectionEnd(m_end);
    if (const auto events = std::exchange(m_events, nullptr); events && !m_answerEnded)
        events->onCallerGone();
}

ConnectionEnd ServerConnection::describeEnd(ConnectionEndCause cause) const
{
    ConnectionEnd end{cause, RequestAtEnd::None,
                      m_in.size() + (m_parser ? m_parser->heldBytes() : 0)};
    if (m_stage == Stage::Answering && (!m_answerEnded || !m_out.empty()))
        end.request = m_answerBegun ? RequestAtEnd::PartlyAnswered : RequestAtEnd::Unanswered;
    else if (m_stage == Stage::ReadingHead || m_stage == Stage::ReadingBody)
        end.request = RequestAtEnd::Partial;
    else if (!m_in.empty())
        end.request = RequestAtEnd::Following;
    else if (const std::size_t n = unreadBytes(); n > 0)
        end = {cause, RequestAtEnd::Unread, n};
    return end;
}

std::size_t ServerConnection::unreadBytes() const
{
    error_code ec;
    const std::size_t n = m_socket.available(ec);
    return ec ? 0 : n;
}

void ServerConnection::closeGracefully(ConnectionEndCause cause)
{
    if (m_stage == Stage::Closed || m_stage == Stage::Closing)
        return;
    m_end = describeEnd(cause);
    enter(Stage::Closing);
    m_in = {};
    m_parser.reset();
    updateCharge();
    setDeadline(kLinger);
    if (!m_out.empty())
        return;
    error_code ec;
    m_socket.shutdown(boost::asio::socket_base::shutdown_send, ec);
    waitReadable();
}

void ServerConnection::closeIfIdle()
{
    if (isWithoutRequest())
        closeGracefully(ConnectionEndCause::Stopping);
}

bool ServerConnection::closeToMakeRoom()
{
    if (m_stage != Stage::Closing && !isWithoutRequest())
        return false;
    close(ConnectionEndCause::TooManyConnections);
    return true;
}

bool ServerConnection::refuseUnfinished(std::string_view cause)
{
    if (m_stage != Stage::ReadingHead && m_stage != Stage::ReadingBody)
        return false;
    refuse(kUnavailable, cause);
    return true;
}

bool ServerConnection::isWithoutRequest() const
{
    // Bytes that were not read yet may be a request, which gets its answer first.
    return m_stage == Stage::Idle && m_in.empty() && unreadBytes() == 0;
}

void ServerConnection::waitReadable()
{
    if (m_waitingReadable || m_stage == Stage::Closed)
        return;
    m_waitingReadable = true;
    m_socket.async_wait(boost::asio::socket_base::wait_read,
                        [self = shared_from_this()](const error_code &ec) {
                            self->m_waitingReadable = false;
                            if (!ec)
                                self->onReadable();
                        });
}

void ServerConnection::onReadable()
{
    if (m_stage == Stage::Closed)
        return;
    if (m_stage == Stage::Closing && closesIdle()) {
        onReadableWhileClosing();
        return;
    }
    auto &scratch = m_server.m_loop.scratch();
    error_code ec;
    const std::size_t n = m_socket.read_some(boost::asio::buffer(scratch), ec);
    if (ec == boost::asio::error::would_block) {
        waitReadable();
        return;
    }
    if (ec) {
        onPeerClosed();
        return;
    }
    if (m_stage == Stage::Closing) {
        dropAfterLastAnswer(n);
        return;
    }
    m_in.append(scratch.data(), n);
    if (m_stage != Stage::Answering)
        parse();
    trimBuffer(m_in);
    updateCharge();
    if (m_in.size() < kMaxPipelined || m_stage != Stage::Answering)
        waitReadable();
}

void ServerConnection::onReadableWhileClosing()
{
    // Bytes that stay unread reset the connection, which shows that nobody read them. The answer
    // before has arrived, as a caller sends its next request after it.
    if (const std::size_t n = unreadBytes(); n > 0) {
        m_end.request = RequestAtEnd::Unread;
        m_end.bytes = n;
    }
    close(m_end.cause);
}

void ServerConnection::dropAfterLastAnswer(std::size_t bytes)
{
    // Unread bytes would reset the connection, and the answer may still be on its way. It has told
    // the caller that nothing after it is served.
    if (m_end.cause != ConnectionEndCause::InputRefused) {
        // Those that were in the socket before are read now.
        if (m_end.request == RequestAtEnd::Unread)
            m_end.bytes = 0;
        m_end.request = RequestAtEnd::Following;
        m_end.bytes += bytes;
    }
    waitReadable();
}

bool ServerConnection::closesIdle() const
{
    return m_end.cause == ConnectionEndCause::IdleTimeout ||
           m_end.cause == ConnectionEndCause::Stopping;
}

void ServerConnection::readLate()
{
    if (unreadBytes() > 0)
        onReadable();
}

void ServerConnection::onPeerClosed()
{
    close(ConnectionEndCause::CallerClosed);
}

void ServerConnection::parse()
{
    const auto self = shared_from_this();
    while (!m_in.empty() && m_stage != Stage::Answering && m_stage != Stage::Closing &&
           m_stage != Stage::Closed) {
        if (!m_parser) {
            const auto limits = m_server.m_sink.limits();
            m_parser = std::make_unique<RequestParser>();
            m_parser->eager(true);
            m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
            m_parser->body_limit(limits.maxBodyBytes);
            m_parser->maxFieldBytes = limits.maxHeaderBytes;
            m_isBodyAdmitted = false;
            enter(Stage::ReadingHead);
            setDeadline(limits.headerTimeout);
        }
        RequestParser::Error ec;
        const std::size_t n = m_parser->put(boost::asio::buffer(m_in), ec);
        m_in.erase(0, n);
        if (ec && ec != http::error::need_more) {
            onParseError(ec);
            return;
        }
        if (m_parser->is_header_done() && m_stage == Stage::ReadingHead)
            onHeaderDone();
        if (m_stage == Stage::ReadingBody && !mayReadBody())
            refuseFull();
        if (!m_parser)
            return;
        if (m_parser->is_done()) {
            dispatch();
            return;
        }
        if (m_stage == Stage::ReadingBody && n > 0)
            setDeadline(m_server.m_sink.limits().idleTimeout);
        if (ec == http::error::need_more && n == 0) {
            refuseIfTooLong();
            return;
        }
    }
}

bool ServerConnection::mayReadBody()
{
    const auto *ledger = m_server.m_loop.byteLedger();
    if (m_isBodyAdmitted || ledger == nullptr || m_parser->is_done())
        return true;
    const auto announced = m_parser->content_length();
    const std::size_t bytes =
            std::max<std::size_t>(announced ? *announced : 0, m_parser->request.body.size());
    if (bytes <= kSmallRequestBytes)
        return true;
    m_isBodyAdmitted = ledger->admits(bytes);
    return m_isBodyAdmitted;
}

void ServerConnection::refuseIfTooLong()
{
    // What the parser leaves is the line of a chunk, or all trailers until their end.
    if (m_stage != Stage::ReadingBody || m_in.size() <= m_server.m_sink.limits().maxHeaderBytes)
        return;
    refuse(kHeadersTooLarge, "trailers_or_chunk_line_too_large");
}

void ServerConnection::onHeaderDone()
{
    enter(Stage::ReadingBody);
    setDeadline(m_server.m_sink.limits().idleTimeout);
    if (!mayReadBody())
        return;
    if (m_parser->expectsContinue && !m_parser->is_done())
        send("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerConnection::dispatch()
{
    if (!m_parser->isFramingClear()) {
        refuse(kBadRequest, "unclear_framing");
        return;
    }
    enter(Stage::Answering);
    m_deadline = TimePoint::max();
    ++m_request;
    m_keepAlive = m_parser->keep_alive();
    m_withoutBody = m_parser->request.method == "HEAD";
    m_answerBegun = false;
    m_answerEnded = false;
    m_endsWithClose = false;
    m_requestBytes = m_parser->heldBytes();
    HttpRequest request = std::move(m_parser->request);
    if (request.body.size() >= kBodyChargedApart) {
        m_requestBytes -= std::min(m_requestBytes, request.body.size());
        m_charge.set(m_in.capacity() + m_out.capacity() + m_requestBytes);
        request.bodyCharge = holdBytes(m_server.m_loop, request.body.size());
    }
    // A caller of an old version takes no chunks; its answers end with the connection.
    m_chunked = m_parser->httpVersion >= kHttp11;
    m_parser.reset();
    const std::uint64_t number = m_request;
    auto events = handle(std::move(request));
    if (m_request == number && m_stage == Stage::Answering && !m_answerEnded)
        m_events = std::move(events);
    else if (m_stage == Stage::Closed && !m_answerEnded && events)
        events->onCallerGone();
}

std::shared_ptr<CallerEvents> ServerConnection::handle(HttpRequest request)
{
    try {
        return m_server.m_sink.onRequest(std::move(request),
                                         std::make_shared<Answer>(shared_from_this(), m_request));
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, "unexpected_error", {{"error", error.what()}});
        answerInternalError();
        return nullptr;
    }
}

void ServerConnection::onParseError(const RequestParser::Error &ec)
{
    constexpr int kTooLarge = 413;
    if (ec == http::error::header_limit)
        refuse(kHeadersTooLarge, "headers_too_large");
    else if (ec == http::error::body_limit)
        refuse(kTooLarge, "body_too_large");
    else
        refuse(kBadRequest, "malformed_request");
}

void ServerConnection::reclaimBytes()
{
    boost::asio::post(m_server.m_loop.context(),
                      [self = shared_from_this()] { self->giveBytesBack(); });
}

void ServerConnection::giveBytesBack()
{
    logEvent(LogLevel::Warning, "memory_reclaimed", {{"bytes", m_charge.bytes()}});
    // The request that is being read has not run, so its caller can be told so.
    if (m_stage == Stage::ReadingHead || m_stage == Stage::ReadingBody)
        refuseFull();
    else if (!answerMemoryFull())
        close(ConnectionEndCause::MemoryFull);
}

bool ServerConnection::answerMemoryFull()
{
    if (m_stage != Stage::Answering || m_answerBegun || !m_events)
        return false;
    m_keepAlive = false;
    m_lastAnswerCause = ConnectionEndCause::MemoryFull;
    const auto events = m_events;
    events->onMemoryFull();
    return m_answerEnded;
}

void ServerConnection::updateCharge()
{
    if (m_stage != Stage::Closed)
        m_charge.set(m_in.capacity() + m_out.capacity() + m_requestBytes +
                     (m_parser ? m_parser->heldBytes() : 0));
}

void ServerConnection::enter(Stage stage)
{
    const bool wasBusy = m_stage == Stage::Answering;
    const bool isBusy = stage == Stage::Answering;
    m_stage = stage;
    if (wasBusy == isBusy)
        return;
    auto &from = wasBusy ? m_server.m_busy : m_server.m_idle;
    auto &to = isBusy ? m_server.m_busy : m_server.m_idle;
    to.splice(to.end(), from, m_place);
}

void ServerConnection::becomeIdle()
{
    m_idleSince = m_server.m_loop.now();
    m_idleLimit = std::max(m_server.m_sink.limits().idleTimeout, std::exchange(m_namedLimit, {}));
    setDeadline(m_idleLimit);
}

void ServerConnection::closeIfOverIdleLimit()
{
    // Callers may go by the limit that has come into force meanwhile.
    m_idleLimit = std::max(m_idleLimit, m_server.m_sink.limits().idleTimeout);
    const Duration left = m_idleSince + m_idleLimit - m_server.m_loop.now();
    if (left > Duration(0))
        setDeadline(left);
    else
        closeGracefully(ConnectionEndCause::IdleTimeout);
}

void ServerConnection::setDeadline(Duration span)
{
    m_deadline = m_server.m_loop.now() + span;
    // A timer that is due earlier stays and checks again, which is cheaper than a new one a
    // request.
    if (m_timer != 0 && m_timerDue <= m_deadline)
        return;
    m_server.m_loop.cancel(m_timer);
    m_timerDue = m_deadline;
    m_timer = m_server.m_loop.after(span, [self = shared_from_this()] { self->onDeadline(); });
}

void ServerConnection::onDeadline()
{
    m_timer = 0;
    if (m_stage == Stage::Closed || m_deadline == TimePoint::max())
        return;
    const auto left = m_deadline - m_server.m_loop.now();
    if (left > Duration(0)) {
        setDeadline(left);
        return;
    }
    constexpr int kRequestTimeout = 408;
    const TimePoint passed = m_deadline;
    if (m_stage != Stage::Closing)
        readLate();
    if (m_deadline != passed)
        return;
    if (m_stage == Stage::ReadingHead || m_stage == Stage::ReadingBody)
        refuse(kRequestTimeout, "request_too_slow");
    else if (m_stage == Stage::Idle)
        closeIfOverIdleLimit();
    else
        close(m_end.cause);
}

} // namespace hawthornslip
