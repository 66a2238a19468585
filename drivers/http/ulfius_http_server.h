#pragma once

#include "core/interfaces/http_server.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

struct MHD_Connection;
struct _u_instance;
struct _u_request;
struct _u_response;

namespace hawthornslip {

class ConnectionTable;

/** An HTTP listener on ulfius, with one thread per connection. */
class UlfiusHttpServer : public HttpServer
{
public:
    explicit UlfiusHttpServer(HttpServerSettings settings);
    /** Stops at once. */
    ~UlfiusHttpServer() override;

    UlfiusHttpServer(const UlfiusHttpServer &) = delete;
    UlfiusHttpServer &operator=(const UlfiusHttpServer &) = delete;

    void route(std::string method, std::string pathPrefix, Handler handler) override;
    void onRejection(RejectionHandler handler) override;
    void onConnectionEnd(EndHandler handler) override;
    bool start() override;
    std::uint16_t port() const override { return m_port; }
    std::size_t activeRequests() const override { return m_active.load(); }
    void stopAccepting() override;
    void stop(Duration grace) override;

private:
    struct Route
    {
        std::string method;
        std::string prefix;
        Handler handler;
    };
    struct Tls
    {
        std::string key;
        std::string certificate;
    };

    bool openListenSocket();
    bool readTlsFiles(Tls &tls) const;
    bool startFramework(const Tls &tls);
    unsigned idleSeconds() const;
    /** @return the seconds for which answers promise to keep an idle connection. */
    unsigned promisedSeconds() const;
    int handle(const _u_request &request, _u_response &response);
    HttpResponse answer(HttpRequest request, const std::shared_ptr<HttpClientConnection> &link,
                        std::size_t headerBytes) const;
    HttpResponse dispatch(HttpRequest request,
                          const std::shared_ptr<HttpClientConnection> &link) const;
    HttpResponse reject(HttpRejection reason, const HttpRequest &request) const;
    void requestCompleted(MHD_Connection *connection, std::optional<ConnectionEndCause> cause);
    void connectionClosed(MHD_Connection *connection);
    /** Reports a connection that libmicrohttpd closed before it read from it. */
    void connectionDropped() const;

    HttpServerSettings m_settings;
    std::vector<Route> m_routes;
    RejectionHandler m_rejection;
    EndHandler m_connectionEnd;
    std::unique_ptr<_u_instance> m_instance;
    std::unique_ptr<ConnectionTable> m_connections;
    int m_listenSocket = -1;
    std::uint16_t m_port = 0;
    bool m_running = false;
    std::atomic<bool> m_accepting{false};
    std::atomic<std::size_t> m_active{0};
    std::mutex m_mutex;
    std::condition_variable m_idle;
};

} // namespace hawthornslip
