#pragma once

#include "drivers/asio/asio_event_loop.h"
#include "tests/soak/judge.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace hawthornslip::soak {

/** A request of a kept caller. */
struct KeptRequest
{
    CallerOutcome outcome;
    /** The whole request as it goes on the connection. */
    std::string bytes;
};

/** The run as kept callers see it. */
class KeptCallerWorld
{
public:
    virtual ~KeptCallerWorld() = default;

    /**
     * @param random the caller's own, as answers decide when it sends, and the draws of a seed
     * must not depend on that.
     * @return a new request for a gateway, which the judge knows of.
     */
    virtual KeptRequest nextKeptRequest(std::size_t gateway, std::mt19937_64 &random) = 0;
    virtual std::uint16_t callerPort(std::size_t gateway) const = 0;
    /** @return the idle limit of the newest configuration. */
    virtual Duration idleLimit() const = 0;
    /** @return the end of the last pause of a gateway's process; it may be in the past. */
    virtual TimePoint pausedUntil(std::size_t gateway) const = 0;
    /** @return true when no more requests are to be sent. */
    virtual bool isEnding() const = 0;
    virtual void onKeptOutcome(const CallerOutcome &outcome) = 0;
};

/** When a kept caller uses its connection again. */
enum class KeptHabit {
    /** After up to four fifths of the idle limit that it knows, and a look at its socket. */
    Careful,
    /** Around the idle limit and beyond, without a look whether the connection has ended. */
    Careless,
};

/**
 * Sends one request after the other on a connection that it keeps. For a request without an answer
 * it finds out whether the gateway left it unread, which resets the connection.
 */
class KeptCaller : public std::enable_shared_from_this<KeptCaller>
{
public:
    /** @param seed draws the pauses. */
    KeptCaller(AsioEventLoop &loop, KeptCallerWorld &world, std::size_t gateway, KeptHabit habit,
               std::uint64_t seed);

    void start() { connect(); }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void connectAfter(Duration pause);
    void use();
    void send();
    void readAnswer();
    void onRead(const boost::system::error_code &ec);
    /** Waits for a reset after the connection's end. @param endSeenAt when the end was read. */
    void awaitReset(TimePoint endSeenAt);
    void checkPatience(std::uint64_t request);
    void finish(WireEnd end, TimePoint at);
    bool hasEndInSocket();
    bool isReset();
    Duration drawPause();

    AsioEventLoop &m_loop;
    KeptCallerWorld &m_world;
    std::size_t m_gateway;
    KeptHabit m_habit;
    std::mt19937_64 m_random;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_in;
    std::optional<Parser> m_parser;
    KeptRequest m_request;
    /** Counts requests, so that a timer of an earlier one does nothing. */
    std::uint64_t m_number = 0;
    bool m_isPatient = true;
    /** The time that the last answer's Keep-Alive gives. */
    Duration m_keepAlive = Duration::max();
};

} // namespace hawthornslip::soak
