#include "servers/caller/caller_service.h"

#include "core/logger.h"
#include "core/metric_names.h"
#include "servers/request_path/error_answer.h"
#include "servers/security/key_hasher.h"

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>

#include <charconv>
#include <mutex>
#include <optional>
#include <utility>

namespace leaf = boost::leaf;

namespace hawthornslip {

namespace {

constexpr std::string_view kOutcomesPath = "/v1/outcomes/";

/** Counts a request as in flight during this object's lifetime. */
class InFlightCount
{
public:
    InFlightCount(std::shared_ptr<std::atomic<std::size_t>> counter, Metrics &metrics)
        : m_counter(std::move(counter))
        , m_metrics(metrics)
    {
        updateGauge(++*m_counter);
    }
    ~InFlightCount() { updateGauge(--*m_counter); }

    InFlightCount(const InFlightCount &) = delete;
    InFlightCount &operator=(const InFlightCount &) = delete;

private:
    void updateGauge(std::size_t n)
    {
        m_metrics.gauge(metric::kInFlight, {}, static_cast<double>(n));
    }

    std::shared_ptr<std::atomic<std::size_t>> m_counter;
    Metrics &m_metrics;
};

/** Body source of a streamed answer that counts as in flight until it is destroyed. */
class CountedBodySource : public HttpBodySource
{
public:
    CountedBodySource(std::unique_ptr<HttpBodySource> source,
                      std::unique_ptr<InFlightCount> inFlight)
        : m_inFlight(std::move(inFlight))
        , m_source(std::move(source))
    {}

    HttpBodyRead read(char *buffer, std::size_t size) override
    {
        return m_source->read(buffer, size);
    }

private:
    /** Declared first, so that it is destroyed after the source. */
    std::unique_ptr<InFlightCount> m_inFlight;
    std::unique_ptr<HttpBodySource> m_source;
};

HttpResponse plainText(int status, std::string text)
{
    HttpResponse answer;
    answer.status = status;
    answer.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    answer.body = std::move(text);
    return answer;
}

// Idempotency keys may contain characters that are percent-encoded in a path.
std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const auto digits = text.substr(i + 1, 2);
        const auto *last = digits.data() + digits.size();
        if (text[i] == '%' && digits.size() == 2 &&
            std::from_chars(digits.data(), last, value, 16).ptr == last) {
            decoded += static_cast<char>(value);
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::string outcomeBody(const Outcome &outcome)
{
    return fmt::format(R"({{"execution":"{}","in_progress":{},"http_status":{},"holder":{}}})",
                       nameOf(outcome.execution), outcome.inProgress, outcome.httpStatus,
                       jsonQuote(outcome.holder.value));
}

} // namespace

CallerService::CallerService(const RequestPath &path, Hooks hooks)
    : m_path(path)
    , m_hooks(std::move(hooks))
{}

void CallerService::registerRoutes(HttpServer &server)
{
    const auto languageHandler = [this](HttpRequest request, const ClientConnection &client) {
        return handle(RouteKind::Language, std::move(request), client);
    };
    server.route("POST", "/v1/chat/completions", languageHandler);
    server.route("POST", "/v1/completions", languageHandler);
    server.route("*", "/v1/apps/", [this](HttpRequest request, const ClientConnection &client) {
        return handle(RouteKind::Application, std::move(request), client);
    });
    server.route("GET", std::string(kOutcomesPath),
                 [this](HttpRequest request, const ClientConnection &client) {
                     return lookUpOutcome(std::move(request), client);
                 });
    server.route("GET", "/healthz", [](const HttpRequest &, const ClientConnection &) {
        return plainText(200, "ok\n");
    });
    server.route("GET", "/readyz",
                 [this](const HttpRequest &, const ClientConnection &) { return ready(); });
    server.route("GET", "/metrics", [this](const HttpRequest &, const ClientConnection &) {
        return plainText(200, m_hooks.metricsText());
    });
    server.onRejection(
            [this](HttpRejection reason, const HttpRequest &) { return rejectionAnswer(reason); });
}

HttpResponse CallerService::handle(RouteKind route, HttpRequest request,
                                   const ClientConnection &client) const
{
    auto inFlight = std::make_unique<InFlightCount>(m_inFlight, m_path.services().metrics);
    // Checked after the request was counted: a shutdown that sets the flag and then sees no request
    // in flight cannot miss one that was accepted before.
    if (m_draining)
        return refuse({Reason::Draining, Execution::NotRun, "the node is stopping", seconds(1)});
    auto context = newContext(std::move(request), client);
    context->route = route;
    auto answer = m_path.handle(std::move(context));
    if (answer.stream)
        answer.stream =
                std::make_unique<CountedBodySource>(std::move(answer.stream), std::move(inFlight));
    return answer;
}

std::unique_ptr<RequestContext> CallerService::newContext(HttpRequest request,
                                                          const ClientConnection &client) const
{
    auto context = std::make_unique<RequestContext>();
    context->http = std::move(request);
    context->client = client;
    context->id = RequestId(KeyHasher::newRequestId());
    context->acceptedAt = m_path.services().clock.now();
    return context;
}

HttpResponse CallerService::lookUpOutcome(HttpRequest request, const ClientConnection &client) const
{
    const auto context = newContext(std::move(request), client);
    const auto key =
            percentDecoded(std::string_view(context->http.path).substr(kOutcomesPath.size()));
    std::optional<RequestError> refusal;
    leaf::try_handle_all([&]() -> leaf::result<void> { return m_path.authenticate(*context); },
                         [&](const RequestError &error) { refusal = error; },
                         [&] { refusal = RequestError{}; });
    if (refusal)
        return refuse(*refusal);

    struct Pending
    {
        std::mutex mutex;
        std::optional<OutcomeAnswer> answer;
    };
    auto pending = std::make_shared<Pending>();
    m_path.services().claims.lookUp(context->workspace->id, key,
                                    [pending, client](const OutcomeAnswer &answer) {
                                        {
                                            const std::lock_guard lock(pending->mutex);
                                            pending->answer = answer;
                                        }
                                        client->wake();
                                    });
    constexpr auto kTimeout = seconds(5);
    const auto deadline = context->acceptedAt + kTimeout;
    while (m_path.services().clock.now() < deadline) {
        const bool present = client->wait(deadline - m_path.services().clock.now());
        const std::lock_guard lock(pending->mutex);
        if (!pending->answer && present)
            continue;
        if (!pending->answer)
            break;
        if (const auto *error = std::get_if<RequestError>(&*pending->answer))
            return refuse(*error);
        const auto &outcome = std::get<std::optional<Outcome>>(*pending->answer);
        if (!outcome)
            return refuse({Reason::UnknownKey, Execution::MayHaveRun,
                           "the key was not claimed within the time that claims are kept",
                           Duration(0)});
        auto answer = plainText(200, outcomeBody(*outcome));
        answer.headers = {{"Content-Type", "application/json"}};
        return answer;
    }
    return refuse({Reason::StoreUnavailable, Execution::MayHaveRun,
                   "the outcome could not be looked up", seconds(1)});
}

HttpResponse CallerService::ready() const
{
    if (m_draining)
        return plainText(503, "draining\n");
    return m_hooks.ready() ? plainText(200, "ready\n") : plainText(503, "not ready\n");
}

HttpResponse CallerService::rejectionAnswer(HttpRejection reason) const
{
    switch (reason) {
    case HttpRejection::UnknownRoute:
        return refuse({Reason::UnknownRoute, Execution::NotRun, "there is no such route", {}});
    case HttpRejection::MethodNotAllowed: {
        auto answer = refuse(
                {Reason::UnknownRoute, Execution::NotRun, "the route has no such method", {}});
        constexpr int kMethodNotAllowed = 405;
        answer.status = kMethodNotAllowed;
        return answer;
    }
    case HttpRejection::BodyTooLarge:
        return refuse({Reason::BodyTooLarge, Execution::NotRun, "the body is too large", {}});
    case HttpRejection::HeadersTooLarge: {
        auto answer =
                refuse({Reason::InvalidHeader, Execution::NotRun, "the headers are too large", {}});
        constexpr int kHeadersTooLarge = 431;
        answer.status = kHeadersTooLarge;
        return answer;
    }
    case HttpRejection::TooManyConnections:
        return refuse({Reason::TooManyConnections, Execution::NotRun,
                       "the node has too many connections", seconds(1)});
    case HttpRejection::HandlerFailed:
        break;
    }
    return refuse({Reason::Internal, Execution::MayHaveRun, "the router failed", {}});
}

HttpResponse CallerService::refuse(const RequestError &error) const
{
    m_path.services().metrics.count(metric::kRefusals, {{"reason", nameOf(error.reason)},
                                                        {"execution", nameOf(error.execution)}});
    return errorAnswer(error, {});
}

} // namespace hawthornslip
