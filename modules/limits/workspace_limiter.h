#pragma once

#include "core/profile.h"
#include "core/time.h"
#include "modules/limits/token_bucket.h"

#include <cstddef>
#include <unordered_map>

namespace hawthornslip {

/** Limits the request rate of each workspace on one node to the node's share of that rate. */
class WorkspaceLimiter
{
public:
    /**
     * Counts one request of @p workspace if it is allowed.
     *
     * @param liveNodes number of nodes that share the rate; at least 1.
     * @return zero when the request is allowed, otherwise the time until the next one is.
     */
    Duration admit(const Workspace &workspace, std::size_t liveNodes, TimePoint now);

    /** Removes workspaces that were idle for more than a minute; call it periodically. */
    void expire(TimePoint now);

    /** @return the number of workspaces with a token bucket. */
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        TokenBucket bucket;
        double rate;
        double burst;
        TimePoint lastUsed;
    };

    std::unordered_map<WorkspaceId, Entry> m_entries;
};

} // namespace hawthornslip
