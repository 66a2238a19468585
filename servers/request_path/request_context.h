#pragma once

#include "core/ids.h"
#include "core/interfaces/http_server.h"
#include "core/profile.h"
#include "core/reasons.h"
#include "core/time.h"
#include "servers/claims/claim_gateway.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace hawthornslip {

class RequestRun;

/** The kind of upstream that a request is routed to. */
enum class RouteKind { Language, Application };

/** Measurements of one request, for metrics and the access log. */
struct RequestStats
{
    std::uint32_t attempts = 0;
    std::uint32_t tokens = 0;
    /** Tokens of a request that failed, also those that were relayed before. */
    std::uint32_t wastedTokens = 0;
    /** From the first admission request to its grant. */
    Duration queueWait{0};
    /** From acceptance to the first token or the complete answer; zero when there is none. */
    Duration timeToFirstToken{0};
    /** Body bytes passed to the caller. */
    std::uint64_t bytes = 0;
};

/** State of one request, shared by its filters. Used by one thread at a time. */
struct RequestContext
{
    RequestContext();
    ~RequestContext();
    RequestContext(const RequestContext &) = delete;
    RequestContext &operator=(const RequestContext &) = delete;

    HttpRequest http;
    std::shared_ptr<HttpClientConnection> client;
    RouteKind route = RouteKind::Language;
    RequestId id;
    TimePoint acceptedAt{};
    TimePoint deadline{};

    /** Set by AuthenticateFilter; @c workspace and @c profile point into the configuration. */
    std::shared_ptr<const SharedConfig> config;
    const Workspace *workspace = nullptr;

    /** Set by ClassifyFilter. */
    const Profile *profile = nullptr;
    ModelName model;
    bool stream = false;
    std::string idempotencyKey;
    std::uint32_t promptTokens = 0;
    std::uint64_t prefixHash = 0;
    /** Path and query below the upstream's base address. */
    std::string upstreamTarget;

    /** Set by ClaimFilter. */
    std::optional<ClaimTicket> ticket;
    std::uint64_t bodyHash = 0;

    /** Set by AdmitFilter; used by the filters after it. */
    std::unique_ptr<RequestRun> run;

    /** The answer to the caller, without the body source of a stream, which RequestPath adds. */
    HttpResponse answer;
    bool streaming = false;
    /** The answer is complete and needs no upstream. */
    bool answered = false;
    /** The answer was read from the answer store. */
    bool replayed = false;
    Reason reason = Reason::None;
    /** NotRun only when it is certain that no upstream has run the request. */
    Execution execution = Execution::NotRun;
    RequestStats stats;
};

} // namespace hawthornslip
