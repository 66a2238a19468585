#pragma once

#include "modules/freshness/config_cache.h"
#include "modules/upstreams/upstream_directory.h"
#include "servers/state/feed_follower.h"

#include <functional>

namespace hawthornslip {

/** A node's copy of the routing configuration and the upstreams, kept up to date by followers. */
class RouterState
{
public:
    RouterState(EventLoop &loop, Metrics &metrics, KeyTrustPolicy trust, DirectoryTimes times);

    /** @return the sink for a follower of the configuration. */
    FollowerSink<RoutingConfig> &configSink() { return m_configSink; }
    /** @return the sink for a follower of the upstreams' entries. */
    FollowerSink<UpstreamEntry> &upstreamSink() { return m_upstreamSink; }

    /** Sets how long API keys and removed upstream entries are trusted. */
    void setBounds(KeyTrustPolicy trust, DirectoryTimes times);

    const ConfigCache &config() const { return m_config; }
    UpstreamDirectory &upstreams() { return m_upstreams; }

    /** @return true when a configuration and the list of upstreams were received. */
    bool isComplete() const { return m_config.table() != nullptr && m_upstreamsListed; }

    /** @return true when the known API keys are recent enough to authenticate requests. */
    bool mayTrustKeys() const { return m_config.mayTrustKeys(m_loop.now()); }

    /** Sets the callback for changes of the configuration or the upstreams. */
    void onChanged(std::function<void()> task) { m_changed = std::move(task); }

private:
    class ConfigSink : public FollowerSink<RoutingConfig>
    {
    public:
        explicit ConfigSink(RouterState &state)
            : m_state(state)
        {}
        void onList(const std::vector<FeedItem<RoutingConfig>> &items) override;
        void onChange(const FeedItem<RoutingConfig> &item) override;
        void onConfirmed(TimePoint at, StatePosition) override { m_state.m_config.confirm(at); }
        bool isOutdated(const FeedItem<RoutingConfig> &item) const override;
        bool isStoreBehind() const override { return m_state.m_config.isStoreBehind(); }

    private:
        RouterState &m_state;
    };

    class UpstreamSink : public FollowerSink<UpstreamEntry>
    {
    public:
        explicit UpstreamSink(RouterState &state)
            : m_state(state)
        {}
        void onList(const std::vector<FeedItem<UpstreamEntry>> &items) override;
        void onChange(const FeedItem<UpstreamEntry> &item) override;
        void onConfirmed(TimePoint, StatePosition) override {}
        void onStoreRecovered(Duration away) override;
        void onStoreRestored() override { m_isRestored = true; }

    private:
        RouterState &m_state;
        /** The next list is the first one after a restart of the store from an older copy. */
        bool m_isRestored = false;
    };

    void applyConfig(const FeedItem<RoutingConfig> &item);
    void applyUpstream(const FeedItem<UpstreamEntry> &item);
    void notifyChanged();

    EventLoop &m_loop;
    Metrics &m_metrics;
    ConfigCache m_config;
    UpstreamDirectory m_upstreams;
    bool m_upstreamsListed = false;
    ConfigSink m_configSink{*this};
    UpstreamSink m_upstreamSink{*this};
    std::function<void()> m_changed;
};

} // namespace hawthornslip
