#pragma once

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

/** Header lines as pairs of name and value. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** @return the value of the header @p lowerName, or nullptr; names in @p headers are lower case. */
const std::string *findHeader(const HttpHeaders &headers, std::string_view lowerName);

/** @return true when header @p lowerName concerns a single connection and is not relayed. */
bool isHopByHopHeader(std::string_view lowerName);

/** A request as received. */
struct HttpRequest
{
    std::string method;
    /** Raw path without the query, percent signs not decoded. */
    std::string path;
    /** Raw text after the question mark. */
    std::string query;
    /** Names in lower case. */
    HttpHeaders headers;
    std::string body;
    /** `ip:port` of the client. */
    std::string clientAddress;

    /** @return the value of the header @p lowerName, or nullptr. */
    const std::string *header(std::string_view lowerName) const
    {
        return findHeader(headers, lowerName);
    }
};

/** The client's connection while its request is in progress. */
class HttpClientConnection
{
public:
    virtual ~HttpClientConnection() = default;

    /**
     * Blocks until wake() was called, the client left or @p timeout has passed. A wake() before the
     * call counts. Only the thread that serves the request calls this.
     *
     * @return false when the client left; later calls still block until wake() or the time.
     */
    virtual bool wait(Duration timeout) = 0;

    /** Ends the current or the next wait(); may be called from any thread, also after the end. */
    virtual void wake() = 0;
};

/** What a read of a streamed body gave. */
struct HttpBodyRead
{
    enum class State {
        /** @c bytes were written; more may follow. */
        More,
        /** The body is complete. */
        End,
        /** The body breaks off; the connection is closed so that the client notices. */
        Broken
    };
    State state = State::More;
    std::size_t bytes = 0;
};

/** A body that is sent in pieces while it comes into being. */
class HttpBodySource
{
public:
    /** Called once the answer was sent or the client left. */
    virtual ~HttpBodySource() = default;

    /** Waits for the next piece and writes at most @p size bytes of it to @p buffer. */
    virtual HttpBodyRead read(char *buffer, std::size_t size) = 0;
};

/** An answer: a whole body, or a source of pieces when @c stream is set. */
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    std::unique_ptr<HttpBodySource> stream;
    /** Closes the connection after the answer. */
    bool close = false;
};

/** Why the listener answers without calling a route. */
enum class HttpRejection {
    UnknownRoute,
    MethodNotAllowed,
    BodyTooLarge,
    HeadersTooLarge,
    TooManyConnections,
    /** A handler threw. */
    HandlerFailed
};

/** Where a listener listens and its bounds. */
struct HttpServerSettings
{
    /** An IPv4 address; port 0 takes a free port. */
    ListenAddress listen;
    TlsFiles tls;
    std::uint32_t maxConnections = 1000;
    std::uint32_t maxBodyBytes = 1 << 20;
    std::uint32_t maxHeaderBytes = 16 << 10;
    /** A connection without a request, or whose client does not read, is closed after this. */
    Duration idleTimeout = seconds(60);
};

/** An HTTP listener. Each connection is served by its own thread. */
class HttpServer
{
public:
    /** Handles a request on its connection's thread; may block. */
    using Handler =
            std::function<HttpResponse(HttpRequest, const std::shared_ptr<HttpClientConnection> &)>;
    /** Gives the answer to a request that no route sees. */
    using RejectionHandler = std::function<HttpResponse(HttpRejection, const HttpRequest &)>;

    virtual ~HttpServer() = default;

    /**
     * Adds a route; call before start(). The longest matching prefix wins.
     *
     * @param method `GET`, `POST` and so on, or `*` for any.
     * @param pathPrefix a whole path, or a prefix when it ends with `/`.
     */
    virtual void route(std::string method, std::string pathPrefix, Handler handler) = 0;

    /** Sets who words the listener's own error answers; call before start(). */
    virtual void onRejection(RejectionHandler handler) = 0;

    /** Starts to listen. @return false when the address or the TLS files cannot be used. */
    virtual bool start() = 0;

    /** @return the port in use, after start(). */
    virtual std::uint16_t port() const = 0;

    /** @return the number of requests whose answer was not yet sent whole. */
    virtual std::size_t activeRequests() const = 0;

    /** Takes no new connections; those that are open go on. */
    virtual void stopAccepting() = 0;

    /** Waits at most @p grace for the active requests, then closes all connections. */
    virtual void stop(Duration grace) = 0;
};

} // namespace hawthornslip
