#pragma once

#include "core/interfaces/http_server.h"
#include "servers/request_path/request_path.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace hawthornslip {

/** The HTTP interface towards callers. */
class CallerService
{
public:
    /** What the service asks the rest of the node. */
    struct Hooks
    {
        /** Whether the node may be sent requests. */
        std::function<bool()> ready = [] { return true; };
        /** The metrics in the Prometheus text format. */
        std::function<std::string()> metricsText = [] { return std::string(); };
    };

    /** @param path handles the requests; it outlives the listener. */
    CallerService(const RequestPath &path, Hooks hooks);

    /** Registers the routes of the caller interface on @p server. */
    void registerRoutes(HttpServer &server);

    /** Refuses new requests with reason `draining` from now on; those in flight go on. */
    void setDraining(bool draining) { m_draining = draining; }

    /** @return the requests accepted whose answer has not ended. */
    std::size_t inFlight() const { return m_inFlight->load(); }

private:
    using Link = std::shared_ptr<HttpClientConnection>;

    HttpResponse handle(RouteKind route, HttpRequest request, const Link &client) const;
    HttpResponse lookUpOutcome(HttpRequest request, const Link &client) const;
    HttpResponse ready() const;
    HttpResponse rejected(HttpRejection reason) const;
    std::unique_ptr<RequestContext> newContext(HttpRequest request, const Link &client) const;
    HttpResponse refuse(const RequestError &error) const;

    const RequestPath &m_path;
    const Hooks m_hooks;
    std::atomic<bool> m_draining{false};
    /** Shared with the streams in flight, which may end after the service. */
    std::shared_ptr<std::atomic<std::size_t>> m_inFlight =
            std::make_shared<std::atomic<std::size_t>>(0);
};

} // namespace hawthornslip
