#pragma once

#include "core/interfaces/upstream_client.h"
#include "servers/load_generator/load_spec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornslip {

/** One request of a load with everything that was drawn for it. */
struct PlannedRequest
{
    /** Time of arrival after the start. */
    Duration at{0};
    std::size_t loadClass = 0;
    std::size_t workspace = 0;
    std::size_t node = 0;
    /** Tokens that the engine will generate. */
    std::uint32_t tokens = 0;
    /** The caller's mark, unique in the load; the upstream records it with the run. */
    std::string marker;
    /** Idempotency key, or empty. */
    std::string key;
};

/**
 * Draws the arrivals of all classes: Poisson with the rates of the periods, independent of the
 * answers (open loop).
 *
 * @return the requests in order of arrival; the same for the same seed.
 */
std::vector<PlannedRequest> makeLoadPlan(const LoadSpec &spec);

/** @return the call that sends @p request to the node at @p nodeUrl. */
UpstreamRequest makeLoadCall(const LoadSpec &spec, const PlannedRequest &request,
                             const std::string &nodeUrl);

} // namespace hawthornslip
