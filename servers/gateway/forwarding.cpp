#include "servers/gateway/forwarding.h"

#include "core/ascii.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

constexpr Duration kConnectTimeout = milliseconds(400);

/** @return the header names listed in the caller's Connection header, in lower case. */
std::vector<std::string> connectionOptions(const HttpHeaders &headers)
{
    std::vector<std::string> names(1);
    const auto *list = findHeader(headers, "connection");
    for (const char it : list == nullptr ? std::string() : *list) {
        if (it == ',')
            names.emplace_back();
        else if (it != ' ' && it != '\t')
            names.back() += toLowerAscii(it);
    }
    return names;
}

HttpHeaders forwardedHeaders(const HttpHeaders &from, const WireDialect &dialect)
{
    const auto options = connectionOptions(from);
    HttpHeaders headers;
    headers.reserve(from.size() + 4);
    for (const auto &it : from) {
        // The request id and the host are forwarded even if the Connection header lists them.
        const bool isHopByHop =
                it.first != "host" && it.first != dialect.requestIdHeader() &&
                std::find(options.begin(), options.end(), it.first) != options.end();
        if (!isHopByHop && !isHopByHopHeader(it.first) && !dialect.isReserved(it.first))
            headers.push_back(it);
    }
    return headers;
}

} // namespace

UpstreamRequest makeUpstreamRequest(const HttpRequest &request, const UpstreamEntry &upstream,
                                    ForwardMeta meta, const WireDialect &dialect,
                                    const std::string &requestId,
                                    std::shared_ptr<const std::string> body)
{
    UpstreamRequest result;
    result.method = request.method;
    result.url = "http://" + upstream.address + request.path;
    if (!request.query.empty())
        result.url += "?" + request.query;
    result.headers = forwardedHeaders(request.headers, dialect);
    meta.expectedUpstream = upstream.id.value;
    dialect.writeForward(meta, result.headers);
    result.sharedBody = std::move(body);
    result.connectTimeout = kConnectTimeout;
    // No timeout here: the exchange cancels the call when the caller's deadline expires.
    result.totalTimeout = Duration(0);
    result.sendOnce = true;
    result.tagHeader = dialect.requestIdHeader();
    result.tag = requestId;
    return result;
}

} // namespace hawthornslip
