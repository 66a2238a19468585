#pragma once

#include "drivers/asio/asio_http_server.h"
#include "drivers/asio/byte_charge.h"
#include "drivers/asio/http_message_parser.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornslip {

/** One connection of a caller: reads requests in turn and writes their answers. */
class ServerConnection : public ByteHolder, public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(AsioHttpServer &server, boost::asio::ip::tcp::socket socket);

    /** Starts to read; @p place is the connection's entry in the server's idle list. */
    void start(AsioHttpServer::Connections::iterator place);

    /** Closes the connection at once. */
    void close(ConnectionEndCause cause);

    /** Sends what is left, then closes without losing the caller's view of it. */
    void closeGracefully(ConnectionEndCause cause);

    /** Closes the connection gracefully if no byte of a request has arrived. */
    void closeIfIdle();

    /**
     * Closes the connection at once if no request is on it, to make room for another one.
     *
     * @return true when it closed.
     */
    bool closeToMakeRoom();

    /** Refuses the request that is being read with 503. @return false when none is. */
    bool refuseUnfinished(std::string_view cause);

    void reclaimBytes() override;

private:
    class Answer;

    /** Where the connection is in its cycle. */
    enum class Stage { Idle, ReadingHead, ReadingBody, Answering, Closing, Closed };

    void waitReadable();
    void onReadable();
    /** Closes without reading; the connection was idle. */
    void onReadableWhileClosing();
    /** Reads on while an answer that ends the connection is on its way. */
    void dropAfterLastAnswer(std::size_t bytes);
    /** Reads what is in the socket before a time limit takes effect. */
    void readLate();
    void onPeerClosed();
    void parse();
    void onHeaderDone();
    bool mayReadBody();
    void refuseIfTooLong();
    void dispatch();
    std::shared_ptr<CallerEvents> handle(HttpRequest request);
    void refuse(int status, std::string_view cause);
    void sendLastAnswer(int status, const std::string &body);
    void refuseFull();
    /** Ends the request that was taken with a status that does not say whether it has run. */
    void answerInternalError();
    void onParseError(const RequestParser::Error &ec);

    void beginAnswer(int status, const HttpHeaders &headers, std::optional<std::size_t> length);
    /** Tells the caller in an answer's head for how long it may keep the connection idle. */
    void nameIdleLimit(std::string &head);
    void writeBody(std::string_view piece);
    void endAnswer();
    void send(std::string_view bytes);
    void flush();
    void onWriteFailed();
    void onFlushed();
    void giveBytesBack();
    /** Lets the open request end with an answer. @return false when there was none. */
    bool answerMemoryFull();
    void updateCharge();
    void finishRequest();

    /** @return how the connection would end now. */
    ConnectionEnd describeEnd(ConnectionEndCause cause) const;
    /** @return bytes that are in the socket. */
    std::size_t unreadBytes() const;
    /** @return true when no byte of a request has arrived. */
    bool isWithoutRequest() const;
    /** @return true when the connection closes between two requests. */
    bool closesIdle() const;

    void enter(Stage stage);
    void setDeadline(Duration span);
    void becomeIdle();
    void closeIfOverIdleLimit();
    void onDeadline();

    AsioHttpServer &m_server;
    boost::asio::ip::tcp::socket m_socket;
    AsioHttpServer::Connections::iterator m_place;
    Stage m_stage = Stage::Idle;
    bool m_waitingReadable = false;
    bool m_waitingWritable = false;

    std::string m_in;
    std::unique_ptr<RequestParser> m_parser;

    std::string m_out;
    ByteCharge m_charge;
    /** Bytes of the request being answered that are not charged with its body. */
    std::size_t m_requestBytes = 0;
    /** The large body that is being read was admitted. */
    bool m_isBodyAdmitted = false;
    std::shared_ptr<CallerEvents> m_events;
    /** Counts requests, so that a late call for an earlier one does nothing. */
    std::uint64_t m_request = 0;
    bool m_keepAlive = true;
    bool m_chunked = false;
    bool m_withoutBody = false;
    bool m_answerBegun = false;
    bool m_answerEnded = false;
    /** The answer has neither a length nor chunks: only a reset shows that it is incomplete. */
    bool m_endsWithClose = false;
    /** Set when the connection begins to close. */
    ConnectionEnd m_end;
    /** Why the connection ends after the current answer, if it does. */
    ConnectionEndCause m_lastAnswerCause = ConnectionEndCause::LastAnswer;
    bool m_hasWriteFailed = false;

    TimePoint m_idleSince{};
    /** The longest limit that callers may go by while the connection is idle. */
    Duration m_idleLimit{0};
    /** The limit behind the time that the current answer names. */
    Duration m_namedLimit{0};

    TimerId m_timer = 0;
    TimePoint m_timerDue{};
    TimePoint m_deadline = TimePoint::max();
};

} // namespace hawthornslip
