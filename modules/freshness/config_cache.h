#pragma once

#include "core/time.h"
#include "modules/routing/route_table.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace hawthornslip {

/** How long API keys are accepted without confirmation from the store. */
struct KeyTrustPolicy
{
    /** Rejects keys that may have been revoked; false accepts the last known keys forever. */
    bool failClosed = false;
    /** Longest time that a revoked key may still be accepted. */
    Duration revokeWithin = seconds(5);
};

/**
 * Caches the active configuration and the time at which it was last confirmed to be the newest.
 * A lower version never replaces a higher one.
 */
class ConfigCache
{
public:
    explicit ConfigCache(KeyTrustPolicy trust);

    void setTrust(KeyTrustPolicy trust) { m_trust = trust; }

    /**
     * Activates a version read from the store if it is newer than the active one. A store that was
     * restored from an older copy has an older one until it is written again.
     *
     * @return true when it was activated, false when the active version is the same or newer.
     */
    bool adopt(RoutingConfig config, TimePoint now);

    /**
     * Records that no version newer than the active one existed at @p at. Without effect while the
     * store has an older one: newer ones than the active one may have been lost with it.
     */
    void confirm(TimePoint at);

    /** @return true while the store has an older version than the active one. */
    bool isStoreBehind() const { return m_table && m_storedVersion < m_table->config().version; }

    /** @return the active route table, or nullptr before the first version. */
    const std::shared_ptr<const RouteTable> &table() const { return m_table; }

    /** @return the time since the last confirmation, or nothing before the first. */
    std::optional<Duration> age(TimePoint now) const;

    /** @return true when the active table may be used to authenticate requests. */
    bool mayTrustKeys(TimePoint now) const;

    /** @return when the active version was adopted. */
    TimePoint adoptedAt() const { return m_adoptedAt; }

private:
    KeyTrustPolicy m_trust;
    std::shared_ptr<const RouteTable> m_table;
    std::uint64_t m_storedVersion = 0;
    TimePoint m_adoptedAt{};
    std::optional<TimePoint> m_confirmedAt;
};

} // namespace hawthornslip
