#include "servers/operator/operator_service.h"

#include "core/logger.h"
#include "servers/security/key_hasher.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr std::int64_t kMaxWaitMs = 300'000;
// A drain or undrain is repeated when another operator's change was accepted in between.
constexpr int kMaxDrainAttempts = 3;

HttpResponse toHttp(const OperatorAnswer &answer)
{
    HttpResponse http;
    http.status = answer.status;
    http.headers = {{"Content-Type", "application/json"}};
    http.body = answer.body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
    return http;
}

/** @return `wait_ms` of @p query, at most kMaxWaitMs; zero when missing or invalid. */
Duration parseWait(const std::string &query)
{
    const std::string name = "wait_ms=";
    const auto at = query.find(name);
    if (at == std::string::npos)
        return Duration{0};
    std::int64_t millis = 0;
    std::from_chars(query.data() + at + name.size(), query.data() + query.size(), millis);
    return milliseconds(std::clamp<std::int64_t>(millis, 0, kMaxWaitMs));
}

/** The parts of `/admin/upstreams/<id>/<action>`. */
struct UpstreamPath
{
    std::string id;
    std::string action;
};

UpstreamPath parseUpstreamPath(const std::string &path)
{
    const std::string prefix = "/admin/upstreams/";
    const auto slash = path.rfind('/');
    if (!path.starts_with(prefix) || slash < prefix.size())
        return {};
    return {path.substr(prefix.size(), slash - prefix.size()), path.substr(slash + 1)};
}

Json *findUpstream(Json &document, const std::string &id)
{
    for (auto &it : document["upstreams"]) {
        if (it.value("id", "") == id)
            return &it;
    }
    return nullptr;
}

} // namespace

OperatorService::OperatorService(HttpServer &server, OperatorBackend &backend,
                                 std::vector<std::string> keyHashes)
    : m_backend(backend)
    , m_server(server)
    , m_keyHashes(std::move(keyHashes))
{
    addRoute("GET", "/admin/config", &OperatorService::readConfig);
    addRoute("PUT", "/admin/config", &OperatorService::applyConfig);
    addRoute("GET", "/admin/config/history", &OperatorService::readHistory);
    addRoute("GET", "/admin/status", &OperatorService::readStatus);
    addRoute("GET", "/admin/nodes", &OperatorService::readNodes);
    addRoute("POST", "/admin/upstreams/", &OperatorService::changeUpstream);
    m_server.onRejection([](HttpRejection, const HttpRequest &) {
        return toHttp(errorAnswer(kNotFound, "rejected", "no such operation, or it is too large"));
    });
}

void OperatorService::addRoute(const std::string &method, const std::string &path, Action action)
{
    m_server.route(method, path, [this, action](const HttpRequest &request, const auto & /*link*/) {
        return serve(request, action);
    });
}

HttpResponse OperatorService::serve(const HttpRequest &request, Action action)
{
    if (!authorized(request)) {
        logEvent(LogLevel::Warning, "operator_unauthenticated",
                 {{"client", request.clientAddress}, {"path", request.path}});
        return toHttp(
                errorAnswer(kUnauthorized, "unauthenticated", "a valid operator key is needed"));
    }
    const OperatorAnswer answer = (this->*action)(request);
    if (request.method != "GET") {
        logEvent(LogLevel::Info, "operator_call",
                 {{"method", request.method}, {"path", request.path}, {"status", answer.status}});
    }
    return toHttp(answer);
}

bool OperatorService::authorized(const HttpRequest &request) const
{
    const auto *header = request.header("authorization");
    if (header == nullptr)
        return false;
    const auto key = KeyHasher::bearerKey(*header);
    return !key.empty() && KeyHasher::matchesAny(KeyHasher::hash(key), m_keyHashes);
}

OperatorAnswer OperatorService::readConfig(const HttpRequest & /*request*/)
{
    return m_backend.config();
}

OperatorAnswer OperatorService::readHistory(const HttpRequest & /*request*/)
{
    return m_backend.history();
}

OperatorAnswer OperatorService::applyConfig(const HttpRequest &request)
{
    return m_backend.apply(request.body, parseWait(request.query));
}

OperatorAnswer OperatorService::readStatus(const HttpRequest & /*request*/)
{
    return m_backend.status();
}

OperatorAnswer OperatorService::readNodes(const HttpRequest & /*request*/)
{
    return m_backend.nodes();
}

OperatorAnswer OperatorService::changeUpstream(const HttpRequest &request)
{
    const auto [id, action] = parseUpstreamPath(request.path);
    if (action != "drain" && action != "undrain")
        return errorAnswer(kNotFound, "unknown_action", "the action is drain or undrain");
    OperatorAnswer answer;
    for (int i = 0; i < kMaxDrainAttempts; ++i) {
        answer = m_backend.config();
        if (answer.status != kOk)
            return answer;
        auto &document = answer.body;
        Json *upstream = findUpstream(document, id);
        if (upstream == nullptr)
            return errorAnswer(kNotFound, "unknown_upstream", "no upstream has the id " + id);
        (*upstream)["state"] = action == "drain" ? "draining" : "active";
        document["generation"] = document.value("generation", std::uint64_t{0}) + 1;
        document["author"] = action + " " + id;
        answer = m_backend.apply(document.dump(), Duration{0});
        if (answer.status != kConflict)
            break;
    }
    return answer;
}

} // namespace hawthornslip
