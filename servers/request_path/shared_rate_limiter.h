#pragma once

#include "modules/limits/workspace_limiter.h"
#include "servers/request_path/rate_limiter.h"

#include <atomic>
#include <mutex>

namespace hawthornslip {

/** Limits each workspace to this node's share of its request rate. Thread-safe. */
class SharedRateLimiter : public RateLimiter
{
public:
    /** Sets the number of live nodes that share each rate; may be called from any thread. */
    void setLiveNodes(std::size_t nodes) { m_liveNodes = nodes > 0 ? nodes : 1; }

    std::optional<Duration> take(const Workspace &workspace, TimePoint now) override;

private:
    std::atomic<std::size_t> m_liveNodes{1};
    std::mutex m_mutex;
    WorkspaceLimiter m_limiter;
    TimePoint m_lastExpiry{};
};

} // namespace hawthornslip
