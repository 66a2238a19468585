#pragma once

#include "core/interfaces/upstream_client.h"
#include "drivers/asio/asio_event_loop.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

class UpstreamConnection;

/**
 * Calls back ends on the event loop over kept connections. It repeats no request, and follows no
 * redirect. Only plain HTTP; URLs have the form `http://ip:port/path`.
 */
class AsioUpstreamClient : public UpstreamClient
{
public:
    /** @param silence about how long a peer may fail to acknowledge before a call is broken. */
    AsioUpstreamClient(AsioEventLoop &loop, Duration silence);
    ~AsioUpstreamClient() override;

    std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                       std::shared_ptr<UpstreamHandler> handler) override;

    /** Closes the idle connections to @p address, as when another upstream has it now. */
    void forget(const std::string &address);

    /** @return connections that were opened since the start. */
    std::uint64_t opened() const { return m_opened; }

private:
    friend class UpstreamConnection;
    using Connection = std::shared_ptr<UpstreamConnection>;

    Connection takeIdle(const std::string &address, const UpstreamRequest &request);
    void release(const Connection &connection);
    void drop(const Connection &connection);

    AsioEventLoop &m_loop;
    Duration m_silence;
    std::uint64_t m_opened = 0;
    // The connection that was used last is at the back.
    std::unordered_map<std::string, std::vector<Connection>> m_idle;
};

} // namespace hawthornslip
