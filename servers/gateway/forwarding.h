#pragma once

#include "core/interfaces/upstream_client.h"
#include "core/interfaces/wire_dialect.h"
#include "modules/upstreams/upstream_directory.h"

namespace hawthornslip {

/**
 * Makes the request that an upstream gets from the one of a caller: headers that concern the
 * caller's connection or that only the router sets are left out.
 *
 * @param meta what the router adds; its expected upstream is set here.
 * @param requestId repeated by the upstream's answer.
 */
UpstreamRequest makeUpstreamRequest(const HttpRequest &request, const UpstreamEntry &upstream,
                                    ForwardMeta meta, const WireDialect &dialect,
                                    const std::string &requestId);

} // namespace hawthornslip
