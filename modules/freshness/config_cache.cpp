#include "modules/freshness/config_cache.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

// A watch may receive nothing for a second before the store closes it, so the last confirmation can
// be late by this much.
constexpr Duration kWatchLag = milliseconds(1200);

} // namespace

ConfigCache::ConfigCache(KeyTrustPolicy trust)
    : m_trust(trust)
{}

bool ConfigCache::adopt(RoutingConfig config, TimePoint now)
{
    m_storedVersion = config.version;
    if (m_table && config.version <= m_table->config().version)
        return false;
    m_table = std::make_shared<const RouteTable>(std::move(config));
    m_adoptedAt = now;
    return true;
}

void ConfigCache::confirm(TimePoint at)
{
    if (isStoreBehind())
        return;
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, at) : at;
}

std::optional<Duration> ConfigCache::age(TimePoint now) const
{
    if (!m_confirmedAt)
        return std::nullopt;
    return now - *m_confirmedAt;
}

bool ConfigCache::mayTrustKeys(TimePoint now) const
{
    if (!m_table)
        return false;
    if (!m_trust.failClosed)
        return true;
    const auto old = age(now);
    return old && *old < m_trust.revokeWithin - kWatchLag;
}

} // namespace hawthornslip
