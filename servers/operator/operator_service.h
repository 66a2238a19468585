#pragma once

#include "core/interfaces/http_server.h"
#include "servers/operator/operator_backend.h"

#include <string>
#include <vector>

namespace hawthornslip {

/** Serves a node's operator interface, the routes below `/admin/`. */
class OperatorService
{
public:
    /**
     * @param server the routes are registered on it; must not be started yet.
     * @param keyHashes hashes of the accepted operator keys.
     */
    OperatorService(HttpServer &server, OperatorBackend &backend,
                    std::vector<std::string> keyHashes);

private:
    using Action = OperatorAnswer (OperatorService::*)(const HttpRequest &);

    void addRoute(const std::string &method, const std::string &path, Action action);
    HttpResponse serve(const HttpRequest &request, Action action);
    bool authorized(const HttpRequest &request) const;

    OperatorAnswer readConfig(const HttpRequest &request);
    OperatorAnswer readHistory(const HttpRequest &request);
    OperatorAnswer applyConfig(const HttpRequest &request);
    OperatorAnswer readStatus(const HttpRequest &request);
    OperatorAnswer readNodes(const HttpRequest &request);
    OperatorAnswer changeUpstream(const HttpRequest &request);

    OperatorBackend &m_backend;
    HttpServer &m_server;
    std::vector<std::string> m_keyHashes;
};

} // namespace hawthornslip
