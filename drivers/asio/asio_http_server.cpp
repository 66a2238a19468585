#include "drivers/asio/asio_http_server.h"

#include "core/logger.h"
#include "drivers/asio/server_connection.h"
#include "drivers/asio/socket_options.h"

#include <boost/asio/ip/address_v4.hpp>

#include <vector>

namespace hawthornslip {

namespace {

// The pause after a failed accept, as when descriptors run out; without it the loop would spin.
constexpr Duration kAcceptPause = milliseconds(20);
// Callers that take no byte for this long are gone; the platform bounds an answer by 15 s.
constexpr Duration kCallerSilence = seconds(9);
// Connections that are looked at to make room for a new one; each look is a system call.
constexpr std::size_t kMaxRoomCandidates = 16;

} // namespace

AsioHttpServer::AsioHttpServer(AsioEventLoop &loop, RequestSink &sink, std::size_t maxConnections)
    : m_loop(loop)
    , m_sink(sink)
    , m_maxConnections(maxConnections)
    , m_acceptor(loop.context())
{}

AsioHttpServer::~AsioHttpServer()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (auto *list : {&m_idle, &m_busy}) {
        const auto all = *list;
        for (const auto &it : all)
            it->close(ConnectionEndCause::ListenerClosed);
    }
}

bool AsioHttpServer::start(const ListenAddress &address)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address_v4(address.ip, ec);
    if (ec)
        return false;
    const boost::asio::ip::tcp::endpoint endpoint(ip, address.port);
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec) {
        logEvent(LogLevel::Error, "listen_failed",
                 {{"ip", address.ip}, {"port", address.port}, {"error", ec.message()}});
        return false;
    }
    accept();
    return true;
}

std::uint16_t AsioHttpServer::port() const
{
    boost::system::error_code ec;
    return m_acceptor.local_endpoint(ec).port();
}

void AsioHttpServer::stopAccepting()
{
    acceptWaiting();
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

void AsioHttpServer::acceptWaiting()
{
    boost::system::error_code ec;
    // Without a wait: the system has completed the handshake of the connections in its queue.
    m_acceptor.non_blocking(true, ec);
    while (!ec && m_acceptor.is_open()) {
        boost::asio::ip::tcp::socket socket(m_loop.context());
        m_acceptor.accept(socket, ec);
        if (!ec)
            onAccepted(std::move(socket));
    }
}

void AsioHttpServer::closeIdle()
{
    const auto all = m_idle;
    for (const auto &it : all)
        it->closeIfIdle();
}

void AsioHttpServer::refuseUnfinished(std::string_view cause)
{
    const auto all = m_idle;
    for (const auto &it : all)
        it->refuseUnfinished(cause);
}

void AsioHttpServer::accept()
{
    m_acceptor.async_accept(
            [this](const boost::system::error_code &ec, boost::asio::ip::tcp::socket socket) {
                if (ec == boost::asio::error::operation_aborted)
                    return;
                if (ec) {
                    logEvent(LogLevel::Warning, "accept_failed", {{"error", ec.message()}});
                    m_loop.after(kAcceptPause, [this] { accept(); });
                    return;
                }
                onAccepted(std::move(socket));
                accept();
            });
}

void AsioHttpServer::onAccepted(boost::asio::ip::tcp::socket socket)
{
    configureSocket(socket, kCallerSilence);
    makeRoom();
    const auto connection = std::make_shared<ServerConnection>(*this, std::move(socket));
    m_idle.push_back(connection);
    connection->start(std::prev(m_idle.end()));
}

void AsioHttpServer::makeRoom()
{
    if (connections() < m_maxConnections)
        return;
    // Closing a connection takes it out of the list.
    std::vector<std::shared_ptr<ServerConnection>> oldest;
    for (auto it = m_idle.begin(); it != m_idle.end() && oldest.size() < kMaxRoomCandidates; ++it)
        oldest.push_back(*it);
    for (const auto &it : oldest) {
        if (it->closeToMakeRoom())
            return;
    }
    for (const auto &it : oldest) {
        if (it->refuseUnfinished("too_many_connections"))
            return;
    }
}

} // namespace hawthornslip
