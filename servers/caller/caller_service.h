#pragma once

#include "core/interfaces/http_server.h"
#include "servers/request_path/request_path.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace hawthornslip {

/** Serves the HTTP interface for callers: requests, outcome look-ups, health and metrics. */
class CallerService
{
public:
    /** Callbacks that the service uses to query the rest of the node. */
    struct Hooks
    {
        /** Whether the node is ready for requests; answers `/readyz`. */
        std::function<bool()> ready = [] { return true; };
        /** The metrics in the Prometheus text format. */
        std::function<std::string()> metricsText = [] { return std::string(); };
    };

    /** @param path handles the requests; must outlive the HTTP server. */
    CallerService(const RequestPath &path, Hooks hooks);

    /** Registers the routes of the caller interface on @p server. */
    void registerRoutes(HttpServer &server);

    /** While @p draining is true, refuses new requests with reason `draining`; those in flight go
     * on. */
    void setDraining(bool draining) { m_draining = draining; }

    /** @return the number of accepted requests whose answer has not ended. */
    std::size_t inFlight() const { return m_inFlight->load(); }

private:
    using ClientConnection = std::shared_ptr<HttpClientConnection>;

    HttpResponse handle(RouteKind route, HttpRequest request, const ClientConnection &client) const;
    HttpResponse lookUpOutcome(HttpRequest request, const ClientConnection &client) const;
    HttpResponse ready() const;
    HttpResponse rejectionAnswer(HttpRejection reason) const;
    std::unique_ptr<RequestContext> newContext(HttpRequest request,
                                               const ClientConnection &client) const;
    HttpResponse refuse(const RequestError &error) const;

    const RequestPath &m_path;
    const Hooks m_hooks;
    std::atomic<bool> m_draining{false};
    /** Shared with the streams in flight, which may outlive the service. */
    std::shared_ptr<std::atomic<std::size_t>> m_inFlight =
            std::make_shared<std::atomic<std::size_t>>(0);
};

} // namespace hawthornslip
