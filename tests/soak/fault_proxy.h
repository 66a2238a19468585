#pragma once

#include "drivers/asio/asio_event_loop.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace hawthornslip::soak {

/** A loopback proxy that delays, silences or resets what passes through it. */
class FaultProxy
{
public:
    /** @param target port on loopback that connections go on to. */
    FaultProxy(AsioEventLoop &loop, std::uint16_t target);
    ~FaultProxy();

    /** Listens on a free port. @return the port. */
    std::uint16_t start();

    /** Bytes in both directions wait this much longer. */
    void setDelay(Duration delay) { m_delay = delay; }
    /** Bytes are swallowed, towards the target or back, without closing anything. */
    void setSilent(bool forward, bool back)
    {
        m_silentForward = forward;
        m_silentBack = back;
    }
    /** Resets all connections. */
    void resetAll();

private:
    class Pair;
    friend class Pair;

    void accept();

    AsioEventLoop &m_loop;
    std::uint16_t m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<Pair>> m_pairs;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Duration m_delay{0};
    bool m_silentForward = false;
    bool m_silentBack = false;
};

} // namespace hawthornslip::soak
