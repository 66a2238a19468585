#include "drivers/http/connection_table.h"

#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <utility>

namespace hawthornslip {

namespace {

std::uint64_t keyOf(const sockaddr_in &address)
{
    constexpr unsigned kPortBits = 16;
    return (std::uint64_t{address.sin_addr.s_addr} << kPortBits) | address.sin_port;
}

const sockaddr_in *addressOf(MHD_Connection *connection)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    return info == nullptr ? nullptr : reinterpret_cast<const sockaddr_in *>(info->client_addr);
}

// Events of poll() on the socket of a client that left.
constexpr short kClientLeft = POLLRDHUP | POLLHUP | POLLERR;

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

bool hasClientLeft(int socket)
{
    pollfd it{socket, POLLRDHUP, 0};
    return poll(&it, 1, 0) == 1 && (it.revents & kClientLeft) != 0;
}

} // namespace

SocketClientLink::SocketClientLink(int socket)
    : m_socket(socket)
    , m_event(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{}

SocketClientLink::~SocketClientLink()
{
    if (m_event >= 0)
        close(m_event);
}

bool SocketClientLink::wait(Duration atMost)
{
    std::array<pollfd, 2> descriptors{
            {{m_event, POLLIN, 0}, {m_gone ? -1 : m_socket, POLLRDHUP, 0}}};
    m_waiting = true;
    // Rounded up, so that a wait of less than a millisecond does not spin.
    constexpr std::int64_t kMicrosPerMilli = 1000;
    const auto millis =
            std::clamp<std::int64_t>((atMost.count() + kMicrosPerMilli - 1) / kMicrosPerMilli, 0,
                                     std::numeric_limits<int>::max());
    // A wake that came before costs no wait, but the socket is still looked at.
    const int timeout = m_woken.exchange(false) ? 0 : static_cast<int>(millis);
    poll(descriptors.data(), descriptors.size(), timeout);
    m_waiting = false;
    if ((descriptors[0].revents & POLLIN) != 0) {
        eventfd_t ignored = 0;
        eventfd_read(m_event, &ignored);
        m_woken = false;
    }
    // poll() ignores a negative descriptor, so that a later wait does not return at once.
    m_gone = m_gone || (descriptors[1].revents & kClientLeft) != 0;
    return !m_gone;
}

void SocketClientLink::wake()
{
    m_woken = true;
    // The write is only needed when the thread blocks; it sets m_waiting before it reads m_woken.
    if (m_waiting)
        eventfd_write(m_event, 1);
}

ConnectionTable::ConnectionTable(Duration idleLimit, bool isEncrypted)
    : m_idleLimit(idleLimit)
    , m_isEncrypted(isEncrypted)
{}

void ConnectionTable::opened(MHD_Connection *connection)
{
    const auto *address = addressOf(connection);
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (address == nullptr || info == nullptr)
        return;
    State state;
    state.socket = info->connect_fd;
    state.key = keyOf(*address);
    state.idleSince = steadyNow();
    const std::lock_guard lock(m_mutex);
    // A client may open a new connection from the same port before the old one is reported.
    m_byAddress[state.key] = connection;
    m_states[connection] = state;
}

std::optional<ConnectionEnd> ConnectionTable::closed(MHD_Connection *connection)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_states.find(connection);
    if (it == m_states.end())
        return std::nullopt;
    const State state = it->second;
    m_states.erase(it);
    const auto newest = m_byAddress.find(state.key);
    if (newest != m_byAddress.end() && newest->second == connection)
        m_byAddress.erase(newest);
    return state.end ? *state.end : endOfIdle(state);
}

ConnectionTable::Entry ConnectionTable::begin(const sockaddr_in &address)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_byAddress.find(keyOf(address));
    if (it == m_byAddress.end())
        return {};
    State &state = m_states.at(it->second);
    state.isActive = true;
    state.isAnswered = false;
    state.isBroken = false;
    return {it->second, state.socket};
}

void ConnectionTable::answered(MHD_Connection *connection, bool isLast)
{
    const std::lock_guard lock(m_mutex);
    if (State *state = find(connection)) {
        // No byte of an answer leaves once the listener closes the connections.
        state->isAnswered = !m_isClosing;
        state->isLast = isLast;
    }
}

void ConnectionTable::answerBroke(MHD_Connection *connection)
{
    const std::lock_guard lock(m_mutex);
    if (State *state = find(connection))
        state->isBroken = true;
}

bool ConnectionTable::end(MHD_Connection *connection, std::optional<ConnectionEndCause> cause)
{
    const std::lock_guard lock(m_mutex);
    State *state = find(connection);
    if (state == nullptr)
        return false;
    if (cause)
        state->end = endOfRequest(*state, *cause);
    else if (!state->isActive)
        state->end = {ConnectionEndCause::InputRefused, RequestAtEnd::Partial, 0};
    state->idleSince = steadyNow();
    return std::exchange(state->isActive, false);
}

void ConnectionTable::beginClose()
{
    const std::lock_guard lock(m_mutex);
    m_isClosing = true;
}

std::size_t ConnectionTable::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_states.size();
}

ConnectionTable::State *ConnectionTable::find(MHD_Connection *connection)
{
    const auto it = m_states.find(connection);
    return it == m_states.end() ? nullptr : &it->second;
}

ConnectionEnd ConnectionTable::endOfRequest(const State &state, ConnectionEndCause cause) const
{
    ConnectionEnd end{cause, RequestAtEnd::Partial, 0};
    if (state.isActive)
        end.request = state.isAnswered ? RequestAtEnd::PartlyAnswered : RequestAtEnd::Unanswered;
    if (m_isClosing) {
        end.cause = ConnectionEndCause::ListenerClosed;
    } else if (cause == ConnectionEndCause::AnswerBroken && !state.isBroken) {
        // libmicrohttpd has one code for a failed write and for input that it refuses.
        if (hasClientLeft(state.socket))
            end.cause = ConnectionEndCause::CallerClosed;
        else if (!state.isActive)
            end.cause = ConnectionEndCause::InputRefused;
    }
    return end;
}

ConnectionEnd ConnectionTable::endOfIdle(const State &state) const
{
    // libmicrohttpd counts from the last byte, which is a little earlier.
    const bool isOverdue = steadyNow() - state.idleSince >= m_idleLimit - m_idleLimit / 10;
    ConnectionEnd end;
    if (state.isLast)
        end.cause = ConnectionEndCause::LastAnswer;
    else if (m_isClosing)
        end.cause = ConnectionEndCause::Stopping;
    else if (isOverdue)
        end.cause = ConnectionEndCause::IdleTimeout;
    int n = 0;
    if (end.cause != ConnectionEndCause::CallerClosed && !m_isEncrypted &&
        ioctl(state.socket, FIONREAD, &n) == 0 && n > 0) {
        end.request = RequestAtEnd::Unread;
        end.bytes = static_cast<std::size_t>(n);
    }
    return end;
}

} // namespace hawthornslip
