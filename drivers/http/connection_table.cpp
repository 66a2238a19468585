#include "drivers/http/connection_table.h"

#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <limits>

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
    constexpr short kLeft = POLLRDHUP | POLLHUP | POLLERR;
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
    m_gone = m_gone || (descriptors[1].revents & kLeft) != 0;
    return !m_gone;
}

void SocketClientLink::wake()
{
    m_woken = true;
    // The write is only needed when the thread blocks; it sets m_waiting before it reads m_woken.
    if (m_waiting)
        eventfd_write(m_event, 1);
}

void ConnectionTable::opened(MHD_Connection *connection)
{
    const auto *address = addressOf(connection);
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (address == nullptr || info == nullptr)
        return;
    const std::lock_guard lock(m_mutex);
    // A client may open a new connection from the same port before the old one is reported.
    m_byAddress[keyOf(*address)] = connection;
    m_entries[connection] = Entry{connection, info->connect_fd, false};
}

void ConnectionTable::closed(MHD_Connection *connection)
{
    const auto *address = addressOf(connection);
    if (address == nullptr)
        return;
    const std::lock_guard lock(m_mutex);
    m_entries.erase(connection);
    const auto newest = m_byAddress.find(keyOf(*address));
    if (newest != m_byAddress.end() && newest->second == connection)
        m_byAddress.erase(newest);
}

ConnectionTable::Entry ConnectionTable::begin(const sockaddr_in &address)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_byAddress.find(keyOf(address));
    if (it == m_byAddress.end())
        return {};
    Entry &entry = m_entries.at(it->second);
    entry.active = true;
    return entry;
}

bool ConnectionTable::end(MHD_Connection *connection)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(connection);
    if (it == m_entries.end() || !it->second.active)
        return false;
    it->second.active = false;
    return true;
}

std::size_t ConnectionTable::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries.size();
}

} // namespace hawthornslip
