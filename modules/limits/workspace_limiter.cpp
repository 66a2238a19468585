#include "modules/limits/workspace_limiter.h"

#include <algorithm>

namespace hawthornslip {

namespace {

constexpr Duration kIdleTimeout = seconds(60);

} // namespace

Duration WorkspaceLimiter::admit(const Workspace &workspace, std::size_t liveNodes, TimePoint now)
{
    const auto nodes = static_cast<double>(std::max<std::size_t>(liveNodes, 1));
    const double rate = workspace.requestsPerSecond / nodes;
    // The load balancer distributes the requests of a workspace unevenly. A capacity below one
    // request would refuse all of them.
    const double burst = std::max(1.0, workspace.burstRequests / nodes);
    auto [it, isNew] = m_entries.try_emplace(
            workspace.id, Entry{TokenBucket(rate, burst, now), rate, burst, now});
    Entry &entry = it->second;
    if (!isNew && (entry.rate != rate || entry.burst != burst)) {
        entry.bucket.configure(rate, burst, now);
        entry.rate = rate;
        entry.burst = burst;
    }
    entry.lastUsed = now;
    return entry.bucket.tryTake(1, now) ? Duration(0)
                                        : std::max(Duration(1), entry.bucket.timeUntil(1, now));
}

void WorkspaceLimiter::expire(TimePoint now)
{
    std::erase_if(m_entries,
                  [&](const auto &it) { return now - it.second.lastUsed > kIdleTimeout; });
}

} // namespace hawthornslip
