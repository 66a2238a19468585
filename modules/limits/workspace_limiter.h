#pragma once

#include "core/profile.h"
#include "core/time.h"
#include "modules/limits/token_bucket.h"

#include <cstddef>
#include <unordered_map>

namespace hawthornslip {

/** The request rates of all workspaces on one node; each node enforces its share of each rate. */
class WorkspaceLimiter
{
public:
    /**
     * Takes one request of @p workspace.
     *
     * @param liveNodes number of nodes that share the rate; at least 1.
     * @return zero when it is allowed, otherwise the time until the next one is.
     */
    Duration admit(const Workspace &workspace, std::size_t liveNodes, TimePoint now);

    /** Forgets workspaces that were idle for a minute; call now and then. */
    void expire(TimePoint now);

    /** @return the number of workspaces remembered. */
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
