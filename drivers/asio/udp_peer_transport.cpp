#include "drivers/asio/udp_peer_transport.h"

#include "core/logger.h"
#include "drivers/asio/socket_options.h"

#include <boost/asio/buffer.hpp>

namespace hawthornslip {

UdpPeerTransport::UdpPeerTransport(AsioEventLoop &loop)
    : m_loop(loop)
    , m_socket(loop.context())
{}

bool UdpPeerTransport::start(const ListenAddress &address)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address_v4(address.ip, ec);
    if (!ec)
        m_socket.open(boost::asio::ip::udp::v4(), ec);
    if (!ec)
        m_socket.bind({ip, address.port}, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec) {
        logEvent(LogLevel::Error, "listen_failed",
                 {{"ip", address.ip}, {"port", address.port}, {"error", ec.message()}});
        return false;
    }
    waitReadable();
    return true;
}

void UdpPeerTransport::send(const NodeId &to, std::string bytes)
{
    const auto endpoint = parseEndpoint(to.value);
    boost::system::error_code ec;
    // A datagram that finds no room is lost like any other; the next report holds the same.
    m_socket.send_to(boost::asio::buffer(bytes),
                     boost::asio::ip::udp::endpoint(endpoint.address(), endpoint.port()), 0, ec);
}

void UdpPeerTransport::waitReadable()
{
    m_socket.async_wait(boost::asio::socket_base::wait_read,
                        [this](const boost::system::error_code &ec) {
                            if (ec)
                                return;
                            onReadable();
                            waitReadable();
                        });
}

void UdpPeerTransport::onReadable()
{
    // Bounded, so that a flood of messages leaves time for requests.
    constexpr int kMaxMessages = 64;
    for (int i = 0; i < kMaxMessages; ++i) {
        auto &scratch = m_loop.scratch();
        boost::system::error_code ec;
        boost::asio::ip::udp::endpoint sender;
        const std::size_t n = m_socket.receive_from(boost::asio::buffer(scratch), sender, 0, ec);
        if (ec)
            return;
        if (m_receiver)
            m_receiver(std::string(scratch.data(), n));
    }
}

} // namespace hawthornslip
