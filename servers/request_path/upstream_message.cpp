#include "servers/request_path/upstream_message.h"

#include "core/ascii.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace hawthornslip {

namespace {

// Hop-by-hop headers, and headers that the router sets itself or withholds. Not forwarded.
constexpr std::array<std::string_view, 18> kNotForwardedHeaders = {"authorization",
                                                                   "connection",
                                                                   "content-length",
                                                                   "expect",
                                                                   "host",
                                                                   "keep-alive",
                                                                   "proxy-authenticate",
                                                                   "proxy-authorization",
                                                                   "proxy-connection",
                                                                   "te",
                                                                   "trailer",
                                                                   "transfer-encoding",
                                                                   "upgrade",
                                                                   "x-request-id",
                                                                   "x-priority",
                                                                   "x-execution",
                                                                   "date",
                                                                   "server"};

bool isNotForwarded(std::string_view name)
{
    return std::find(kNotForwardedHeaders.begin(), kNotForwardedHeaders.end(), name) !=
                   kNotForwardedHeaders.end() ||
           name.starts_with("x-hawthornslip-");
}

// Whether the Connection header mentions @p name, which makes it a hop-by-hop header.
bool isListedInConnectionHeader(const HttpHeaders &headers, std::string_view name)
{
    const auto *connection = findHeader(headers, "connection");
    if (connection == nullptr)
        return false;
    return toLowerAscii(*connection).find(name) != std::string::npos;
}

void copyHeaders(const HttpHeaders &from, HttpHeaders &to)
{
    for (const auto &it : from) {
        if (!isNotForwarded(it.first) && !isListedInConnectionHeader(from, it.first))
            to.push_back(it);
    }
}

std::string bodyWithResumePosition(const std::string &body, std::uint32_t tokensDone)
{
    const auto brace = body.find('{');
    return body.substr(0, brace + 1) + "\"resume_after_tokens\":" + std::to_string(tokensDone) +
           ',' + body.substr(brace + 1);
}

} // namespace

UpstreamRequest buildUpstreamRequest(const RequestContext &context, const std::string &url,
                                     const PathSettings &settings, std::uint32_t tokensDone,
                                     Duration remaining)
{
    const auto &profile = *context.profile;
    UpstreamRequest request;
    request.method = context.http.method;
    request.url = url + context.upstreamTarget;
    request.connectTimeout = std::min(settings.connectTimeout, remaining);
    request.totalTimeout = remaining;
    request.sendOnce = !profile.idempotent;
    // A call that cannot be retried gains nothing from an early timeout.
    const bool hasAttemptTimeouts =
            profile.idempotent && (context.stream || context.route == RouteKind::Application);
    if (hasAttemptTimeouts) {
        request.firstByteTimeout =
                std::max(profile.firstTokenTarget * settings.firstTokenTimeoutFactor,
                         settings.minFirstTokenTimeout);
        request.idleTimeout =
                std::max(profile.tokenTarget * settings.idleTimeoutFactor, settings.minIdleTimeout);
    }
    if (context.route == RouteKind::Application)
        copyHeaders(context.http.headers, request.headers);
    else
        request.headers.emplace_back("content-type", "application/json");
    request.headers.emplace_back("x-request-id", context.id.value);
    request.headers.emplace_back("x-priority", std::to_string(profile.tier));
    request.body = tokensDone > 0 ? bodyWithResumePosition(context.http.body, tokensDone)
                                  : context.http.body;
    return request;
}

HttpHeaders callerHeaders(const RequestContext &context, const HttpHeaders &upstream)
{
    HttpHeaders headers;
    if (context.route == RouteKind::Application)
        copyHeaders(upstream, headers);
    else if (const auto *type = findHeader(upstream, "content-type"))
        headers.emplace_back("Content-Type", *type);
    headers.emplace_back("X-Request-Id", context.id.value);
    return headers;
}

} // namespace hawthornslip
