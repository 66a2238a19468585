#pragma once

#include "core/interfaces/upstream_client.h"
#include "drivers/asio/asio_upstream_client.h"
#include "drivers/asio/byte_charge.h"
#include "drivers/asio/http_message_parser.h"

#include <memory>
#include <string>

namespace hawthornslip {

/** One connection to a back end, which serves one call at a time. */
class UpstreamConnection : public ByteHolder,
                           public std::enable_shared_from_this<UpstreamConnection>
{
public:
    UpstreamConnection(AsioUpstreamClient &client, std::string address);

    /** Sends a request. @return the number of the call on this connection. */
    std::uint64_t start(UpstreamRequest request, std::string target,
                        std::shared_ptr<UpstreamHandler> handler);

    /** Ends call @p number by closing the connection. */
    void cancel(std::uint64_t number);

    /** Continues call @p number after its handler paused it. */
    void resume(std::uint64_t number);

    /** Closes the connection without a word to a handler. */
    void close();

    /**
     * @return whether the idle connection can serve a request with @p tag: bytes that are there
     *         already belong to no request, and a copy of the answer to an earlier request with the
     *         same tag would be taken for the answer.
     */
    bool mayServe(const std::string &tag);

    void reclaimBytes() override;

    const std::string &address() const { return m_address; }
    /** @return when the last call ended. */
    TimePoint idleSince() const { return m_idleSince; }
    /** @return when the back end may close the connection because it is idle. */
    TimePoint usableUntil() const { return m_usableUntil; }

private:
    void connect();
    void onConnected();
    void buildMessage(const std::string &target);
    void writeMessage();
    void armTimers();
    void waitReadable();
    void onReadable();
    void onBytes();
    void deliver();
    bool isWithinLimits(std::size_t consumed);
    bool parseStep();
    bool deliverHead();
    bool deliverBody();
    void onAnswerDone();
    void onPeerClosed(bool clean);
    bool isRequestWritten() const;
    /** @return false when the peer cannot have read the whole request. */
    bool isRequestReceived();
    void noteKeepAlive();
    bool isForeignAnswer() const;
    /** @return true when the answer names a request, or the current request has no tag. */
    bool isNamedAnswer() const;
    void resetParser();
    void finish(UpstreamResult result, std::string message);
    void shut();
    void updateCharge();

    AsioUpstreamClient &m_client;
    std::string m_address;
    boost::asio::ip::tcp::socket m_socket;
    bool m_connected = false;
    bool m_closed = false;
    bool m_waitingReadable = false;

    std::uint64_t m_call = 0;
    UpstreamRequest m_request;
    std::shared_ptr<UpstreamHandler> m_handler;
    ByteCharge m_charge;
    /** Head of the request, with its body if that is small. */
    std::string m_out;
    /** A large body, sent after @c m_out. */
    std::string_view m_largeBody;
    std::size_t m_written = 0;
    TimerId m_connectTimer = 0;
    TimerId m_totalTimer = 0;
    bool m_paused = false;

    std::string m_in;
    std::unique_ptr<AnswerParser> m_parser;
    bool m_headDelivered = false;
    bool m_closing = false;
    bool m_endedByClose = false;
    /** An earlier call was answered on this connection. */
    bool m_isReused = false;
    /** The answer names its request, where the request has a tag. */
    bool m_isNamed = true;
    std::string m_lastTag;
    /** Bytes of the current call that were no part of its answer. */
    std::size_t m_discardedBytes = 0;

    /** How long the back end keeps an idle connection, by its last answer. */
    Duration m_keepAlive = Duration::max();
    TimePoint m_idleSince{};
    TimePoint m_usableUntil = TimePoint::max();
};

} // namespace hawthornslip
