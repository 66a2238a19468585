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

/** What a request asks for. */
enum class RouteKind { Language, Application };

/** Measurements of one request, for metrics and the access log. */
struct RequestStats
{
    std::uint32_t attempts = 0;
    std::uint32_t tokens = 0;
    /** Tokens that were generated and not relayed, or relayed of an answer that broke off. */
    std::uint32_t wastedTokens = 0;
    /** From asking for the first grant to getting it. */
    Duration queueWait{0};
    /** From acceptance to the first token or the whole answer; zero when none came. */
    Duration timeToFirstToken{0};
    /** Bytes of the body given to the caller. */
    std::uint64_t bytes = 0;
};

/** Everything that the filters know of one request. One thread at a time uses it. */
struct RequestContext
{
    RequestContext();
    ~RequestContext();
    RequestContext(const RequestContext &) = delete;
    RequestContext &operator=(const RequestContext &) = delete;

    HttpRequest http;
    std::shared_ptr<HttpClientLink> client;
    RouteKind route = RouteKind::Language;
    RequestId id;
    TimePoint acceptedAt{};
    TimePoint deadline{};

    /** Set by authenticate; the pointers below point into it. */
    std::shared_ptr<const SharedConfig> config;
    const Workspace *workspace = nullptr;

    /** Set by classify. */
    const Profile *profile = nullptr;
    ModelName model;
    bool stream = false;
    std::string idempotencyKey;
    std::uint32_t promptTokens = 0;
    std::uint64_t prefixHash = 0;
    /** Path and query below the upstream's base address. */
    std::string upstreamTarget;

    /** Set by claim. */
    std::optional<ClaimTicket> ticket;
    std::uint64_t bodyHash = 0;

    /** Set by admit and driven by the filters after it. */
    std::unique_ptr<RequestRun> run;

    /** What the caller gets; its stream is set by the caller service. */
    HttpAnswer answer;
    bool streaming = false;
    /** The answer is complete and needs no upstream. */
    bool answered = false;
    /** The answer came from the store of answers. */
    bool replayed = false;
    Reason reason = Reason::None;
    /** The worst that is known: NotRun only when it is certain. */
    Execution execution = Execution::NotRun;
    RequestStats stats;
};

} // namespace hawthornslip
