#pragma once

#include "core/interfaces/peer_transport.h"
#include "core/settings.h"
#include "drivers/asio/asio_event_loop.h"

#include <boost/asio/ip/udp.hpp>

namespace hawthornslip {

/** Messages between nodes as single datagrams on an event loop. */
class UdpPeerTransport : public PeerTransport
{
public:
    explicit UdpPeerTransport(AsioEventLoop &loop);

    /** Binds the socket. @return false when the address cannot be used. */
    bool start(const ListenAddress &address);

    /** @return the port in use, after start(). */
    std::uint16_t port() const
    {
        boost::system::error_code ec;
        return m_socket.local_endpoint(ec).port();
    }

    void setReceiver(Receiver receiver) override { m_receiver = std::move(receiver); }
    void send(const NodeId &to, std::string bytes) override;
    void disconnect(const NodeId &) override {}

private:
    void waitReadable();
    void onReadable();

    AsioEventLoop &m_loop;
    boost::asio::ip::udp::socket m_socket;
    Receiver m_receiver;
};

} // namespace hawthornslip
