#pragma once

#include "core/interfaces/upstream_client.h"
#include "core/interfaces/wire_dialect.h"
#include "modules/upstreams/upstream_directory.h"

namespace hawthornslip {

/**
 * Builds the request to an upstream from a caller's request. Connection-specific headers and
 * headers that only the router sets are not forwarded.
 *
 * @param meta the values that the router adds; the expected upstream is filled in here.
 * @param requestId the id that the upstream's answer must repeat.
 * @param body the body of the request; nullptr without one.
 */
UpstreamRequest makeUpstreamRequest(const HttpRequest &request, const UpstreamEntry &upstream,
                                    ForwardMeta meta, const WireDialect &dialect,
                                    const std::string &requestId,
                                    std::shared_ptr<const std::string> body);

} // namespace hawthornslip
