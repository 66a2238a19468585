#pragma once

#include "modules/routing/routing_config.h"
#include "modules/scaling/demand_meter.h"
#include "modules/upstreams/upstream_directory.h"

#include <string>
#include <vector>

namespace hawthornslip {

/** A service whose upstreams can be ordered, as this node sees it. */
struct ScaledService
{
    std::string name;
    ScalingPolicy policy;
    DemandSample demand;
    UpstreamRate rate;
    /** All listed upstreams, also those that take no new requests. */
    std::vector<UpstreamEntry> upstreams;
};

/** Tells the demand and the upstreams of the services that can be scaled. */
class ScalingSource
{
public:
    virtual ~ScalingSource() = default;

    /** @return these services; none before the configuration and the upstreams are known. */
    virtual std::vector<ScaledService> scaledServices() = 0;
};

} // namespace hawthornslip
