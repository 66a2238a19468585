#pragma once

#include "core/interfaces/http_server.h"
#include "core/interfaces/upstream_client.h"
#include "servers/request_path/path_settings.h"
#include "servers/request_path/request_context.h"

#include <cstdint>
#include <string>

namespace hawthornslip {

/**
 * @param tokensDone tokens already relayed; the engine is asked to go on after them.
 * @return the call that sends the request of @p context to the upstream at @p url.
 */
UpstreamRequest buildUpstreamRequest(const RequestContext &context, const std::string &url,
                                     const PathSettings &settings, std::uint32_t tokensDone,
                                     Duration remaining);

/** @return the headers of an upstream's answer that the caller gets. */
HttpHeaders callerHeaders(const RequestContext &context, const HttpHeaders &upstream);

} // namespace hawthornslip
