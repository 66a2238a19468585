#include "core/reasons.h"
#include "drivers/asio/server_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <utility>

/** The part of a connection that writes answers. */
namespace hawthornslip {

namespace {

using boost::system::error_code;

// Memory is short for as long as the requests in it take.
constexpr std::string_view kFullRetryAfter = "1";
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kUnavailable = 503;
constexpr int kInternalError = 500;

bool hasBody(int status)
{
    return status != kNoContent && status != kNotModified;
}

} // namespace

void ServerConnection::refuse(int status, std::string_view cause)
{
    m_server.m_sink.onBadInput(status, cause);
    sendLastAnswer(status, fmt::format(R"({{"error":"{}"}})", cause));
    closeGracefully(ConnectionEndCause::InputRefused);
}

void ServerConnection::answerInternalError()
{
    if (m_answerBegun) {
        close(ConnectionEndCause::HandlerFailed);
        return;
    }
    const Execution execution = Execution::MayHaveRun;
    m_answerEnded = true;
    sendLastAnswer(kInternalError, fmt::format(R"({{"error":"{}","execution":"{}"}})",
                                               nameOf(Reason::Internal), nameOf(execution)));
    closeGracefully(ConnectionEndCause::HandlerFailed);
}

void ServerConnection::sendLastAnswer(int status, const std::string &body)
{
    HttpHeaders headers = {{"Content-Type", "application/json"},
                           {"Content-Length", std::to_string(body.size())},
                           {"Connection", "close"}};
    if (status == kUnavailable)
        headers.emplace_back("Retry-After", kFullRetryAfter);
    std::string answer;
    appendAnswerHead(answer, status, headers);
    send(answer + "\r\n" + body);
}

void ServerConnection::refuseFull()
{
    refuse(kUnavailable, "memory_full");
}

void ServerConnection::beginAnswer(int status, const HttpHeaders &headers,
                                   std::optional<std::size_t> length)
{
    const bool isHttp11 = m_chunked;
    // A request that was read behind this one is served before the connection closes.
    const bool isLastOfStop = m_server.m_sink.isStopping() && m_in.empty();
    if (isLastOfStop || (!length && !m_chunked))
        m_keepAlive = false;
    std::string head;
    appendAnswerHead(head, status, headers);
    m_chunked = !length && m_chunked;
    m_endsWithClose = !length && !m_chunked && hasBody(status);
    if (length && hasBody(status))
        head += fmt::format("Content-Length: {}\r\n", *length);
    else if (m_chunked && hasBody(status))
        head += "Transfer-Encoding: chunked\r\n";
    if (!m_keepAlive)
        head += "Connection: close\r\n";
    else if (isHttp11)
        nameIdleLimit(head);
    head += "\r\n";
    m_withoutBody = m_withoutBody || !hasBody(status);
    m_answerBegun = true;
    send(head);
}

void ServerConnection::nameIdleLimit(std::string &head)
{
    m_namedLimit = m_server.m_sink.limits().idleTimeout;
    // Without a whole second the header would tell callers not to use the connection again.
    const auto n = std::chrono::floor<std::chrono::seconds>(reusableFor(m_namedLimit)).count();
    if (n > 0)
        head += fmt::format("Keep-Alive: timeout={}\r\n", n);
}

void ServerConnection::writeBody(std::string_view piece)
{
    if (piece.empty() || m_withoutBody)
        return;
    if (m_chunked)
        send(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece));
    else
        send(piece);
}

void ServerConnection::endAnswer()
{
    m_answerEnded = true;
    m_events.reset();
    m_requestBytes = 0;
    if (m_chunked && !m_withoutBody)
        send("0\r\n\r\n");
    if (m_stage == Stage::Answering && m_out.empty())
        finishRequest();
}

void ServerConnection::finishRequest()
{
    if (!m_keepAlive) {
        closeGracefully(m_lastAnswerCause);
        return;
    }
    enter(Stage::Idle);
    updateCharge();
    becomeIdle();
    waitReadable();
    if (!m_in.empty()) {
        boost::asio::post(m_server.m_loop.context(), [self = shared_from_this()] {
            if (self->m_stage == Stage::Idle)
                self->parse();
        });
    }
}

void ServerConnection::send(std::string_view bytes)
{
    if (m_stage == Stage::Closed)
        return;
    if (m_out.empty()) {
        error_code ec;
        const std::size_t n =
                m_socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), ec);
        if (ec && ec != boost::asio::error::would_block) {
            onWriteFailed();
            return;
        }
        if (!ec)
            bytes.remove_prefix(n);
    }
    if (bytes.empty())
        return;
    m_out += bytes;
    updateCharge();
    flush();
}

void ServerConnection::flush()
{
    if (m_waitingWritable)
        return;
    m_waitingWritable = true;
    m_socket.async_wait(boost::asio::socket_base::wait_write,
                        [self = shared_from_this()](const error_code &waitError) {
                            self->m_waitingWritable = false;
                            if (waitError || self->m_stage == Stage::Closed)
                                return;
                            error_code ec;
                            const std::size_t n =
                                    self->m_socket.write_some(boost::asio::buffer(self->m_out), ec);
                            if (ec && ec != boost::asio::error::would_block) {
                                self->onWriteFailed();
                                return;
                            }
                            self->m_out.erase(0, ec ? 0 : n);
                            trimBuffer(self->m_out);
                            self->updateCharge();
                            if (self->m_out.empty())
                                self->onFlushed();
                            else
                                self->flush();
                        });
}

void ServerConnection::onWriteFailed()
{
    // The caller of send() still uses this connection, so it closes once that has returned.
    m_out.clear();
    m_hasWriteFailed = true;
    boost::asio::post(m_server.m_loop.context(), [self = shared_from_this()] {
        self->close(ConnectionEndCause::CallerClosed);
    });
}

void ServerConnection::onFlushed()
{
    if (m_stage == Stage::Closing) {
        error_code ec;
        m_socket.shutdown(boost::asio::socket_base::shutdown_send, ec);
        waitReadable();
    } else if (m_stage == Stage::Answering && m_answerEnded) {
        finishRequest();
    } else if (m_events) {
        m_events->onSendBufferEmpty();
    }
}

} // namespace hawthornslip
