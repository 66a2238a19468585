#pragma once

#include "core/ids.h"
#include "core/interfaces/metrics.h"
#include "core/scheduling_policy.h"
#include "modules/ownership/group_directory.h"
#include "peer.pb.h"
#include "servers/config/config_source.h"
#include "servers/membership/membership_source.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

namespace hawthornslip {

/** State shared by the parts of admission on one node; used on the control thread only. */
struct AdmissionContext
{
    /** Sends a message to a node, which may be this one. */
    using Send = std::function<void(const NodeId &to, peer::Envelope message)>;

    NodeId self;
    std::uint64_t incarnation = 0;
    FailureDomain domain;
    SchedulingPolicy policy = SchedulingPolicy::Hawthornslip;
    const MembershipSource &membership;
    const ConfigSource &configSource;
    Metrics &metrics;
    Send send;
    /** The configuration that the directory is built from; must be set before use. */
    std::shared_ptr<const SharedConfig> config;
    std::unordered_set<UpstreamId> leavingUpstreams;
    GroupDirectory directory;
};

} // namespace hawthornslip
