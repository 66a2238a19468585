#pragma once

#include "core/connection_end.h"
#include "core/interfaces/http_server.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
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
    /** An open connection; without one, the pointer is null. */
    struct Entry
    {
        MHD_Connection *connection = nullptr;
        int socket = -1;
    };

    /**
     * @param idleLimit time after which an idle connection is closed.
     * @param isEncrypted whether bytes in the sockets may be others than those of requests.
     */
    ConnectionTable(Duration idleLimit, bool isEncrypted);

    /** Adds @p connection as libmicrohttpd reports it. */
    void opened(MHD_Connection *connection);

    /** Removes @p connection. @return how it ended; nothing if it was not known. */
    std::optional<ConnectionEnd> closed(MHD_Connection *connection);

    /** Marks the request of the connection from @p address as active. @return its entry. */
    Entry begin(const sockaddr_in &address);

    /** Records that the request has an answer to send. @param isLast no further request follows. */
    void answered(MHD_Connection *connection, bool isLast);

    /** Records that the streamed answer cannot be completed. */
    void answerBroke(MHD_Connection *connection);

    /**
     * Ends a request.
     *
     * @param cause why the connection ends with it; nothing if it was answered.
     * @return false when no request was active.
     */
    bool end(MHD_Connection *connection, std::optional<ConnectionEndCause> cause);

    /** Records that the listener closes all connections from now on. */
    void beginClose();

    /** @return the number of open connections. */
    std::size_t size() const;

private:
    struct State
    {
        int socket = -1;
        std::uint64_t key = 0;
        /** A handler has been called for the current request. */
        bool isActive = false;
        bool isAnswered = false;
        bool isLast = false;
        bool isBroken = false;
        TimePoint idleSince{};
        std::optional<ConnectionEnd> end;
    };

    State *find(MHD_Connection *connection);
    ConnectionEnd endOfRequest(const State &state, ConnectionEndCause cause) const;
    ConnectionEnd endOfIdle(const State &state) const;

    const Duration m_idleLimit;
    const bool m_isEncrypted;
    mutable std::mutex m_mutex;
    std::unordered_map<MHD_Connection *, State> m_states;
    /** The newest connection from each address. */
    std::unordered_map<std::uint64_t, MHD_Connection *> m_byAddress;
    bool m_isClosing = false;
};

} // namespace hawthornslip
