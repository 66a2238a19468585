#include "servers/state/router_state.h"

#include <utility>

namespace hawthornslip {

RouterState::RouterState(EventLoop &loop, Metrics &metrics, KeyTrustPolicy trust,
                         DirectoryTimes times)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_config(trust)
    , m_upstreams(times)
{}

void RouterState::setBounds(KeyTrustPolicy trust, DirectoryTimes times)
{
    m_config.setTrust(trust);
    m_upstreams.setTimes(times);
}

void RouterState::ConfigSink::onList(const std::vector<FeedItem<RoutingConfig>> &items)
{
    for (const auto &it : items)
        m_state.applyConfig(it);
}

void RouterState::ConfigSink::onChange(const FeedItem<RoutingConfig> &item)
{
    m_state.applyConfig(item);
}

bool RouterState::ConfigSink::isOutdated(const FeedItem<RoutingConfig> &item) const
{
    const auto &table = m_state.m_config.table();
    return table && item.value && item.value->version < table->config().version;
}

void RouterState::UpstreamSink::onList(const std::vector<FeedItem<UpstreamEntry>> &items)
{
    std::vector<UpstreamEntry> entries;
    for (const auto &it : items) {
        if (it.value)
            entries.push_back(*it.value);
        else
            m_state.applyUpstream(it);
    }
    if (std::exchange(m_isRestored, false))
        m_state.m_upstreams.replaceAllRestored(entries, m_state.m_loop.now());
    else
        m_state.m_upstreams.replaceAll(entries, m_state.m_loop.now());
    m_state.m_upstreamsListed = true;
    m_state.notifyChanged();
}

void RouterState::UpstreamSink::onChange(const FeedItem<UpstreamEntry> &item)
{
    m_state.applyUpstream(item);
    m_state.notifyChanged();
}

void RouterState::UpstreamSink::onStoreRecovered(Duration away)
{
    m_state.m_upstreams.onStoreRecovered(m_state.m_loop.now(), away);
}

void RouterState::applyConfig(const FeedItem<RoutingConfig> &item)
{
    if (!item.value) {
        // The active version stays: a removed or malformed object is not a newer version.
        logEvent(LogLevel::Warning, "config_unusable",
                 {{"object", item.name}, {"removed", item.removed}, {"fault", item.fault}});
        return;
    }
    const std::uint64_t before = m_config.table() ? m_config.table()->config().version : 0;
    if (!m_config.adopt(*item.value, m_loop.now())) {
        if (m_config.isStoreBehind())
            logEvent(LogLevel::Warning, "store_has_older_config",
                     {{"version", item.value->version}, {"in_force", before}});
        return;
    }
    const auto &config = m_config.table()->config();
    m_metrics.gauge(metric::kConfigGeneration, {}, static_cast<double>(config.version));
    logEvent(LogLevel::Info, "config_in_force",
             {{"version", config.version},
              {"before", before},
              {"routes", config.routes.size()},
              {"needs_keys", config.workspaces.has_value()},
              {"workspaces", config.workspaces ? config.workspaces->size() : 0},
              {"idle_timeout_ms", toMillis(config.limits.idleTimeout)}});
    notifyChanged();
}

void RouterState::applyUpstream(const FeedItem<UpstreamEntry> &item)
{
    const TimePoint now = m_loop.now();
    if (item.value) {
        m_upstreams.put(*item.value, now);
        logEvent(LogLevel::Info, "upstream_entry",
                 {{"upstream", item.name},
                  {"service", item.value->service},
                  {"address", item.value->address},
                  {"draining", item.value->draining}});
        return;
    }
    const bool mayReregister = m_upstreams.remove(UpstreamId(item.name), now);
    if (!item.removed)
        logEvent(LogLevel::Warning, "upstream_entry_unusable",
                 {{"upstream", item.name}, {"fault", item.fault}});
    else
        logEvent(LogLevel::Info, "upstream_removed",
                 {{"upstream", item.name}, {"may_register_again", mayReregister}});
}

void RouterState::notifyChanged()
{
    if (m_changed)
        m_changed();
}

} // namespace hawthornslip
