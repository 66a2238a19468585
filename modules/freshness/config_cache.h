#pragma once

#include "core/time.h"
#include "modules/routing/route_table.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace hawthornslip {

/** How long keys are trusted without news from the store. */
struct KeyTrustPolicy
{
    /** Refuse keys that may have been revoked; false trusts the last known keys for ever. */
    bool failClosed = false;
    /** Time after which a revoked key must not be served. */
    Duration revokeWithin = seconds(5);
};

/**
 * The configuration in force with the time at which it was last known to be the newest. A lower
 * version never replaces a higher one.
 */
class ConfigCache
{
public:
    explicit ConfigCache(KeyTrustPolicy trust);

    void setTrust(KeyTrustPolicy trust) { m_trust = trust; }

    /**
     * Takes a version that the store holds.
     *
     * @return true when it is in force now, false when a newer or the same one was already.
     */
    bool adopt(RoutingConfig config, TimePoint now);

    /** Notes that no version newer than the one in force existed at @p at. */
    void confirm(TimePoint at);

    /** @return the table in force, or nullptr before the first version. */
    const std::shared_ptr<const RouteTable> &table() const { return m_table; }

    /** @return the time since the last confirmation, or nothing before the first. */
    std::optional<Duration> age(TimePoint now) const;

    /** @return true when a request with a key may be served by the table in force. */
    bool mayTrustKeys(TimePoint now) const;

    /** @return when the version in force was adopted. */
    TimePoint adoptedAt() const { return m_adoptedAt; }

private:
    KeyTrustPolicy m_trust;
    std::shared_ptr<const RouteTable> m_table;
    TimePoint m_adoptedAt{};
    std::optional<TimePoint> m_confirmedAt;
};

} // namespace hawthornslip
