#pragma once

#include "core/interfaces/clock.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/upstream_client.h"
#include "servers/admission/admission_gateway.h"
#include "servers/claims/claim_gateway.h"
#include "servers/config/config_source.h"
#include "servers/request_path/answer_store.h"
#include "servers/request_path/path_settings.h"
#include "servers/request_path/rate_limiter.h"
#include "servers/request_path/retry_limiter.h"

namespace hawthornslip {

/** Dependencies of the request filters; all references must outlive the requests. */
struct PathServices
{
    const Clock &clock;
    Metrics &metrics;
    ConfigSource &config;
    AdmissionGateway &admission;
    ClaimGateway &claims;
    UpstreamClient &upstreams;
    RetryLimiter &retries;
    RateLimiter &rates;
    AnswerStore &answers;
    PathSettings settings;
};

} // namespace hawthornslip
