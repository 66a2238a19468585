#include "tests/soak/kept_caller.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace hawthornslip::soak {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Gateways end a request after its time of 4 s at the latest.
constexpr Duration kPatience = milliseconds(5500);
// A gateway that left a request unread has closed its connection, and so reset it, by then.
constexpr Duration kResetTime = seconds(3);
constexpr Duration kLook = milliseconds(20);
constexpr Duration kReconnectPause = milliseconds(100);
// Pauses of careful callers and the exact ones of careless callers, as parts of the idle limit.
constexpr double kShortestPart = 0.2;
constexpr double kCarefulPart = 0.8;
constexpr double kLongestPart = 1.8;
constexpr Duration kExactly = milliseconds(10);

bool isResetError(const error_code &ec)
{
    return ec == asio::error::connection_reset || ec == asio::error::broken_pipe ||
           ec == asio::error::connection_aborted;
}

Duration partOf(Duration span, double part)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(span.count()) * part));
}

/** @return the time in a Keep-Alive header, the longest of all when it names none. */
Duration keepAliveOf(std::string_view value)
{
    constexpr std::string_view kTimeout = "timeout=";
    const std::size_t at = value.find(kTimeout);
    if (at == std::string_view::npos)
        return Duration::max();
    return seconds(std::atoi(std::string(value.substr(at + kTimeout.size())).c_str()));
}

} // namespace

KeptCaller::KeptCaller(AsioEventLoop &loop, KeptCallerWorld &world, std::size_t gateway,
                       KeptHabit habit, std::uint64_t seed)
    : m_loop(loop)
    , m_world(world)
    , m_gateway(gateway)
    , m_habit(habit)
    , m_random(seed)
    , m_socket(loop.context())
{}

void KeptCaller::connect()
{
    if (m_world.isEnding())
        return;
    m_socket = asio::ip::tcp::socket(m_loop.context());
    m_in.clear();
    m_socket.async_connect({asio::ip::address_v4::loopback(), m_world.callerPort(m_gateway)},
                           [self = shared_from_this()](const error_code &ec) {
                               if (ec)
                                   self->connectAfter(kReconnectPause);
                               else
                                   self->send();
                           });
}

void KeptCaller::connectAfter(Duration pause)
{
    error_code ec;
    m_socket.close(ec);
    m_loop.after(pause, [self = shared_from_this()] { self->connect(); });
}

void KeptCaller::use()
{
    if (m_habit == KeptHabit::Careful && hasEndInSocket())
        connectAfter(Duration(0));
    else
        send();
}

void KeptCaller::send()
{
    if (m_world.isEnding())
        return;
    m_request = m_world.nextKeptRequest(m_gateway, m_random);
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    m_isPatient = true;
    checkPatience(++m_number);
    asio::async_write(m_socket, asio::buffer(m_request.bytes),
                      [self = shared_from_this()](const error_code &ec, std::size_t) {
                          if (ec)
                              self->finish(WireEnd::Reset, self->m_loop.now());
                          else
                              self->readAnswer();
                      });
}

void KeptCaller::readAnswer()
{
    http::async_read(
            m_socket, m_in, *m_parser,
            [self = shared_from_this()](const error_code &ec, std::size_t) { self->onRead(ec); });
}

void KeptCaller::onRead(const error_code &ec)
{
    const TimePoint now = m_loop.now();
    auto &outcome = m_request.outcome;
    if (m_parser->is_header_done()) {
        outcome.status = static_cast<int>(m_parser->get().result_int());
        outcome.body = m_parser->get().body();
        outcome.isWhole = !ec;
        m_keepAlive = keepAliveOf(m_parser->get()["Keep-Alive"]);
        finish(WireEnd::Answered, now);
    } else if (!m_isPatient) {
        finish(WireEnd::Open, now);
    } else if (isResetError(ec)) {
        finish(WireEnd::Reset, now);
    } else {
        awaitReset(now);
    }
}

void KeptCaller::awaitReset(TimePoint endSeenAt)
{
    if (isReset()) {
        finish(WireEnd::Reset, m_loop.now());
        return;
    }
    // A paused process closes nothing.
    if (m_loop.now() >= std::max(endSeenAt, m_world.pausedUntil(m_gateway)) + kResetTime) {
        finish(WireEnd::Closed, endSeenAt);
        return;
    }
    m_loop.after(kLook, [self = shared_from_this(), endSeenAt] { self->awaitReset(endSeenAt); });
}

void KeptCaller::checkPatience(std::uint64_t request)
{
    const TimePoint from = std::max(m_request.outcome.sentAt, m_world.pausedUntil(m_gateway));
    const Duration left = from + kPatience - m_loop.now();
    if (left > Duration(0)) {
        m_loop.after(left, [self = shared_from_this(), request] {
            if (self->m_number == request)
                self->checkPatience(request);
        });
        return;
    }
    m_isPatient = false;
    error_code ec;
    m_socket.cancel(ec);
}

void KeptCaller::finish(WireEnd end, TimePoint at)
{
    auto &outcome = m_request.outcome;
    outcome.wireEnd = end;
    outcome.endedAt = at;
    ++m_number;
    m_world.onKeptOutcome(outcome);
    if (outcome.isWhole && m_parser->get().keep_alive())
        m_loop.after(drawPause(), [self = shared_from_this()] { self->use(); });
    else
        connectAfter(kReconnectPause);
}

bool KeptCaller::hasEndInSocket()
{
    char byte = 0;
    const auto n = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool KeptCaller::isReset()
{
    // After its end was read, only the state of the connection tells that it was reset.
    tcp_info info{};
    socklen_t size = sizeof(info);
    return ::getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
           info.tcpi_state == TCP_CLOSE;
}

Duration KeptCaller::drawPause()
{
    const Duration limit = m_world.idleLimit();
    const Duration known = std::min(limit, m_keepAlive);
    const auto within = [this](Duration low, Duration high) {
        return Duration(
                std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(m_random));
    };
    if (m_habit == KeptHabit::Careful)
        return within(partOf(known, kShortestPart), partOf(known, kCarefulPart));
    const Duration pause =
            m_random() % 2 == 0 ? within(limit - kExactly, limit + kExactly)
                                : within(partOf(limit, kCarefulPart), partOf(limit, kLongestPart));
    return std::min(pause, m_keepAlive);
}

} // namespace hawthornslip::soak
