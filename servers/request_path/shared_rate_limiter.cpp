#include "servers/request_path/shared_rate_limiter.h"

namespace hawthornslip {

std::optional<Duration> SharedRateLimiter::take(const Workspace &workspace, TimePoint now)
{
    constexpr auto kExpireInterval = seconds(10);
    const std::lock_guard lock(m_mutex);
    if (now - m_lastExpiry >= kExpireInterval) {
        m_limiter.expire(now);
        m_lastExpiry = now;
    }
    const auto wait = m_limiter.admit(workspace, m_liveNodes, now);
    if (wait.count() == 0)
        return std::nullopt;
    return wait;
}

} // namespace hawthornslip
