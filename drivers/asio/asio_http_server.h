#pragma once

#include "core/interfaces/stream_server.h"
#include "core/settings.h"
#include "drivers/asio/asio_event_loop.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <list>
#include <memory>
#include <string_view>

namespace hawthornslip {

class ServerConnection;

/** An HTTP/1.1 listener on an event loop; serves thousands of open connections on one thread. */
class AsioHttpServer
{
public:
    /**
     * @param sink takes the requests; outlives the server.
     * @param maxConnections beyond it the connection that is idle for longest is closed.
     */
    AsioHttpServer(AsioEventLoop &loop, RequestSink &sink, std::size_t maxConnections);
    ~AsioHttpServer();

    /** Starts to listen. @return false when the address cannot be used. */
    bool start(const ListenAddress &address);

    /** @return the port in use, after start(). */
    std::uint16_t port() const;

    /** Takes the connections that are waiting, then closes the listening socket. */
    void stopAccepting();

    /** Closes all connections on which no part of a request has arrived. */
    void closeIdle();

    /** Refuses the requests that were not read whole, because the process ends now. */
    void refuseUnfinished(std::string_view cause);

    /** @return connections that are open. */
    std::size_t connections() const { return m_idle.size() + m_busy.size(); }
    /** @return requests whose answer was not yet sent whole. */
    std::size_t activeRequests() const { return m_busy.size(); }

private:
    friend class ServerConnection;
    using Connections = std::list<std::shared_ptr<ServerConnection>>;

    void accept();
    void acceptWaiting();
    void onAccepted(boost::asio::ip::tcp::socket socket);
    void makeRoom();

    AsioEventLoop &m_loop;
    RequestSink &m_sink;
    std::size_t m_maxConnections;
    boost::asio::ip::tcp::acceptor m_acceptor;
    // The connection that has been idle for longest is first.
    Connections m_idle;
    Connections m_busy;
};

} // namespace hawthornslip
