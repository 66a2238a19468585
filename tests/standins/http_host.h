#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

struct _u_instance;
struct _u_request;
struct _u_response;
struct MHD_Connection;

namespace hawthornslip::standin {

/** A request as a stand-in sees it. */
struct HttpCall
{
    std::string method;
    /** Path without the query. */
    std::string path;
    std::map<std::string, std::string> query;
    /** Headers by lower-case name. */
    std::map<std::string, std::string> headers;
    std::string body;
    /** Port of the caller, which identifies the connection. */
    std::uint16_t clientPort = 0;

    /** @return the header called @p name (lower case), or an empty string. */
    std::string header(const std::string &name) const;
};

/** Produces the body of a streamed answer, on the thread of its connection. */
class BodySource
{
public:
    virtual ~BodySource() = default;

    /** @return the next piece, waiting for it; empty at the end. @p failed closes the connection.
     */
    virtual std::string next(bool &failed) = 0;
};

/** An answer of a stand-in. */
struct HttpReply
{
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;
    /** Set for a streamed answer; then body is unused. */
    std::shared_ptr<BodySource> stream;
};

/** @return an answer with a JSON body. */
HttpReply jsonReply(int status, const std::string &body);

/**
 * A HTTP server on a loopback port, one thread a connection.
 *
 * A crash cuts all connections and closes the port; start() opens the same port again.
 */
class HttpHost
{
public:
    using Handler = std::function<HttpReply(const HttpCall &)>;

    explicit HttpHost(Handler handler);
    ~HttpHost();
    HttpHost(const HttpHost &) = delete;
    HttpHost &operator=(const HttpHost &) = delete;

    /**
     * Opens the port and serves.
     *
     * @param port 0 takes a free one from the kernel at the first start.
     * @return false when the port cannot be opened.
     */
    bool start(std::uint16_t port = 0);

    /** Closes the port and cuts all connections; waits until the handlers have returned. */
    void stop();

    bool running() const { return m_running; }
    std::uint16_t port() const { return m_port; }
    /** @return `http://127.0.0.1:port`. */
    std::string url() const;

    /** Closes the connection from @p clientPort without an answer. */
    void cutConnection(std::uint16_t clientPort);

    /** @return true when the caller at @p clientPort closed its side or is gone. */
    bool peerClosed(std::uint16_t clientPort) const;

private:
    static int handle(const _u_request *request, _u_response *response, void *self);
    static void connectionChanged(void *self, MHD_Connection *connection, void **context, int code);
    bool openSocket(std::uint16_t port);
    void cutAll();

    Handler m_handler;
    std::unique_ptr<_u_instance> m_instance;
    std::uint16_t m_port = 0;
    int m_socket = -1;
    std::atomic<bool> m_running{false};
    mutable std::mutex m_mutex;
    /** File descriptors of the open connections by the caller's port. */
    std::map<std::uint16_t, int> m_connections;
};

} // namespace hawthornslip::standin
