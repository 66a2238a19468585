#include "drivers/asio/socket_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace hawthornslip {

namespace {

// Probes before the system gives a silent connection up; one may be lost on a bad link.
constexpr int kProbes = 2;

void setOption(int socket, int level, int name, int value)
{
    // A socket that lacks the option still works; it only notices a dead peer later.
    static_cast<void>(setsockopt(socket, level, name, &value, sizeof value));
}

} // namespace

void configureSocket(boost::asio::ip::tcp::socket &socket, Duration silence)
{
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    const int handle = socket.native_handle();
    const auto second = std::max<int>(1, static_cast<int>(toSeconds(silence)) / (kProbes + 1));
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, second);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, second);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(toMillis(silence)));
}

int unacknowledgedBytes(int socket)
{
    int n = 0;
    return ioctl(socket, SIOCOUTQ, &n) == 0 ? n : 0;
}

boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return {};
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address_v4(std::string(address.substr(0, colon)), ec);
    std::uint16_t port = 0;
    const auto digits = address.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec || parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size())
        return {};
    return {ip, port};
}

} // namespace hawthornslip
