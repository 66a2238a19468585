#pragma once

#include "core/interfaces/http_server.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

struct MHD_Connection;
struct sockaddr_in;

namespace hawthornslip {

/** Notices a client that left by polling its socket beside an event descriptor. */
class SocketClientLink : public HttpClientConnection
{
public:
    /** @param socket the client's socket, which stays open while the request is in progress. */
    explicit SocketClientLink(int socket);
    ~SocketClientLink() override;

    SocketClientLink(const SocketClientLink &) = delete;
    SocketClientLink &operator=(const SocketClientLink &) = delete;

    bool wait(Duration atMost) override;
    void wake() override;

private:
    int m_socket;
    int m_event;
    bool m_gone = false;
    std::atomic<bool> m_woken{false};
    std::atomic<bool> m_waiting{false};
};

/**
 * The open connections of a listener by client address. ulfius does not give the connection to a
 * handler, but the address of an open connection is unique.
 */
class ConnectionTable
{
public:
    /** An open connection. */
    struct Entry
    {
        MHD_Connection *connection = nullptr;
        int socket = -1;
        /** Whether a request of it is counted as active. */
        bool active = false;
    };

    /** Adds or removes @p connection as libmicrohttpd reports it. */
    void opened(MHD_Connection *connection);
    void closed(MHD_Connection *connection);

    /** Marks the request of the connection from @p address as active. @return its entry. */
    Entry begin(const sockaddr_in &address);

    /** Ends the active request. @return false when there was none. */
    bool end(MHD_Connection *connection);

    /** @return the number of open connections. */
    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<MHD_Connection *, Entry> m_entries;
    /** The newest connection from each address. */
    std::unordered_map<std::uint64_t, MHD_Connection *> m_byAddress;
};

} // namespace hawthornslip
