#pragma once

#include "core/interfaces/http_server.h"
#include "core/interfaces/upstream_client.h"
#include "servers/request_path/path_settings.h"
#include "servers/request_path/request_context.h"

#include <cstdint>
#include <string>

namespace hawthornslip {

/**
 * @param tokensDone tokens already relayed; the engine is told to continue after them.
 * @param remaining time left until the request's deadline.
 * @return the request that sends @p context to the upstream at base address @p url.
 */
UpstreamRequest buildUpstreamRequest(const RequestContext &context, const std::string &url,
                                     const PathSettings &settings, std::uint32_t tokensDone,
                                     Duration remaining);

/** @return the headers of the answer to the caller, made from the headers @p upstream. */
HttpHeaders callerHeaders(const RequestContext &context, const HttpHeaders &upstream);

} // namespace hawthornslip
