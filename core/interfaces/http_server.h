#pragma once

#include "core/connection_end.h"
#include "core/settings.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornslip {

/** Header fields as (name, value) pairs. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** @return the value of the header @p lowerName, or nullptr; @p headers has lower-case names. */
const std::string *findHeader(const HttpHeaders &headers, std::string_view lowerName);

/** @return true for headers that must not be forwarded: hop-by-hop, `expect`, `content-length`. */
bool isHopByHopHeader(std::string_view lowerName);

/** A parsed HTTP request. */
struct HttpRequest
{
    std::string method;
    /** Path without the query, still percent-encoded. */
    std::string path;
    /** Query string, still percent-encoded, without the question mark. */
    std::string query;
    /** Header names are in lower case. */
    HttpHeaders headers;
    std::string body;
    /** Keeps a large body charged to the memory of the process; may be empty. */
    std::shared_ptr<void> bodyCharge = nullptr;
    /** `ip:port` of the client. */
    std::string clientAddress;

    /** @return the value of the header @p lowerName, or nullptr. */
    const std::string *header(std::string_view lowerName) const
    {
        return findHeader(headers, lowerName);
    }
};

/** The client connection of a request in progress. */
class HttpClientConnection
{
public:
    virtual ~HttpClientConnection() = default;

    /**
     * Blocks until wake() is called, the client disconnects or @p timeout expires. Returns at once
     * if wake() was called beforehand. Only the thread that serves the request may call this.
     *
     * @return false when the client has disconnected; later calls still block until wake() or the
     *         timeout.
     */
    virtual bool wait(Duration timeout) = 0;

    /** Ends the current or next wait(). Thread-safe; may be called after the request has ended. */
    virtual void wake() = 0;
};

/** The result of one read from a streamed body. */
struct HttpBodyRead
{
    enum class State {
        /** @c bytes were written; more may follow. */
        More,
        /** The body is complete. */
        End,
        /** The body is incomplete; the connection is closed so that the client detects it. */
        Broken
    };
    State state = State::More;
    std::size_t bytes = 0;
};

/** A response body that is sent in chunks as it is produced. */
class HttpBodySource
{
public:
    /** Runs after the response was sent or the client disconnected. */
    virtual ~HttpBodySource() = default;

    /** Blocks until data is available and copies at most @p size bytes of it to @p buffer. */
    virtual HttpBodyRead read(char *buffer, std::size_t size) = 0;
};

/** A response with either a complete body or, when @c stream is set, a streamed one. */
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    std::unique_ptr<HttpBodySource> stream;
    /** Closes the connection after the response. */
    bool close = false;
};

/** Why the listener responds without calling a route handler. */
enum class HttpRejection {
    UnknownRoute,
    MethodNotAllowed,
    BodyTooLarge,
    HeadersTooLarge,
    TooManyConnections,
    /** The route handler threw an exception. */
    HandlerFailed
};

/** Listen address and limits of an HTTP listener. */
struct HttpServerSettings
{
    /** An IPv4 address; port 0 selects a free port. */
    ListenAddress listen;
    TlsFiles tls;
    std::uint32_t maxConnections = 1000;
    std::uint32_t maxBodyBytes = 1 << 20;
    std::uint32_t maxHeaderBytes = 16 << 10;
    /** Time after which a connection without a request, or with a stalled reader, is closed. */
    Duration idleTimeout = seconds(60);
};

/** An HTTP listener that serves each connection on its own thread. */
class HttpServer
{
public:
    /** Handles a request on the connection's thread; may block. */
    using Handler =
            std::function<HttpResponse(HttpRequest, const std::shared_ptr<HttpClientConnection> &)>;
    /** Builds the response to a request that reaches no route handler. */
    using RejectionHandler = std::function<HttpResponse(HttpRejection, const HttpRequest &)>;
    /** Is told of the end of a connection, on any thread. */
    using EndHandler = std::function<void(const ConnectionEnd &)>;

    virtual ~HttpServer() = default;

    /**
     * Adds a route; call before start(). The longest matching prefix wins.
     *
     * @param method `GET`, `POST` and so on, or `*` for any.
     * @param pathPrefix an exact path, or a prefix when it ends with `/`.
     */
    virtual void route(std::string method, std::string pathPrefix, Handler handler) = 0;

    /** Sets the handler for the listener's own error responses; call before start(). */
    virtual void onRejection(RejectionHandler handler) = 0;

    /** Sets the handler for ends of connections; call before start(). */
    virtual void onConnectionEnd(EndHandler handler) = 0;

    /** Starts listening. @return false when the address or the TLS files cannot be used. */
    virtual bool start() = 0;

    /** @return the port in use; valid after start(). */
    virtual std::uint16_t port() const = 0;

    /** @return the number of requests whose response has not been fully sent. */
    virtual std::size_t activeRequests() const = 0;

    /** Stops accepting connections; open ones continue. */
    virtual void stopAccepting() = 0;

    /** Waits at most @p grace for active requests to finish, then closes all connections. */
    virtual void stop(Duration grace) = 0;
};

} // namespace hawthornslip
