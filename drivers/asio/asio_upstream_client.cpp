#include "drivers/asio/asio_upstream_client.h"

#include "drivers/asio/upstream_connection.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace hawthornslip {

namespace {

/** Ends a call by its connection, unless the connection serves another call by now. */
class ConnectionCall : public UpstreamCall
{
public:
    ConnectionCall(std::shared_ptr<UpstreamConnection> connection, std::uint64_t number)
        : m_connection(std::move(connection))
        , m_number(number)
    {}

    void cancel() override { m_connection->cancel(m_number); }
    void resume() override { m_connection->resume(m_number); }

private:
    std::shared_ptr<UpstreamConnection> m_connection;
    std::uint64_t m_number;
};

/** Splits `http://ip:port/target` into its address and its target. */
std::pair<std::string, std::string> splitUrl(std::string_view url)
{
    constexpr std::string_view kScheme = "http://";
    if (url.starts_with(kScheme))
        url.remove_prefix(kScheme.size());
    const auto slash = url.find('/');
    if (slash == std::string_view::npos)
        return {std::string(url), "/"};
    return {std::string(url.substr(0, slash)), std::string(url.substr(slash))};
}

} // namespace

AsioUpstreamClient::AsioUpstreamClient(AsioEventLoop &loop, Duration silence)
    : m_loop(loop)
    , m_silence(silence)
{}

AsioUpstreamClient::~AsioUpstreamClient()
{
    const auto idle = std::exchange(m_idle, {});
    for (const auto &[address, connections] : idle) {
        for (const auto &it : connections)
            it->close();
    }
}

std::shared_ptr<UpstreamCall> AsioUpstreamClient::send(UpstreamRequest request,
                                                       std::shared_ptr<UpstreamHandler> handler)
{
    auto [address, target] = splitUrl(request.url);
    auto connection = takeIdle(address, request);
    if (!connection) {
        connection = std::make_shared<UpstreamConnection>(*this, address);
        ++m_opened;
    }
    const std::uint64_t number =
            connection->start(std::move(request), std::move(target), std::move(handler));
    return std::make_shared<ConnectionCall>(std::move(connection), number);
}

void AsioUpstreamClient::forget(const std::string &address)
{
    const auto it = m_idle.find(address);
    if (it == m_idle.end())
        return;
    const auto connections = std::move(it->second);
    m_idle.erase(it);
    for (const auto &connection : connections)
        connection->close();
}

AsioUpstreamClient::Connection AsioUpstreamClient::takeIdle(const std::string &address,
                                                            const UpstreamRequest &request)
{
    const auto it = m_idle.find(address);
    if (it == m_idle.end())
        return nullptr;
    const TimePoint now = m_loop.now();
    auto &connections = it->second;
    while (!connections.empty()) {
        auto connection = connections.back();
        connections.pop_back();
        if (now < connection->usableUntil() &&
            now - connection->idleSince() < request.reuseWithin &&
            connection->mayServe(request.tag))
            return connection;
        connection->close();
    }
    return nullptr;
}

void AsioUpstreamClient::release(const Connection &connection)
{
    m_idle[connection->address()].push_back(connection);
}

void AsioUpstreamClient::drop(const Connection &connection)
{
    const auto it = m_idle.find(connection->address());
    if (it == m_idle.end())
        return;
    std::erase(it->second, connection);
    if (it->second.empty())
        m_idle.erase(it);
}

} // namespace hawthornslip
