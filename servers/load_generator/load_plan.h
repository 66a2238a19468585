#pragma once

#include "core/interfaces/upstream_client.h"
#include "servers/load_generator/load_spec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornslip {

/** One request of a load with its randomly drawn properties. */
struct PlannedRequest
{
    /** Arrival time since the start of the load. */
    Duration at{0};
    /** Indexes into the lists of the LoadSpec. */
    std::size_t loadClass = 0;
    std::size_t workspace = 0;
    std::size_t node = 0;
    /** Tokens that the engine will generate; 0 for an application call. */
    std::uint32_t tokens = 0;
    /** Value of the body's `user` field, unique in the load; the upstream logs it with the run. */
    std::string marker;
    /** Idempotency key, or empty. */
    std::string key;
};

/**
 * Draws the arrivals of all classes from Poisson processes whose rates vary by period. Arrivals do
 * not depend on answers (open loop).
 *
 * @return the requests in order of arrival; the same for the same seed.
 */
std::vector<PlannedRequest> makeLoadPlan(const LoadSpec &spec);

/** @return the HTTP request that sends @p request to the node at @p nodeUrl. */
UpstreamRequest makeLoadCall(const LoadSpec &spec, const PlannedRequest &request,
                             const std::string &nodeUrl);

} // namespace hawthornslip
