#pragma once

#include "servers/state/feed_follower.h"
#include "servers/state/state_relay.h"

#include <utility>
#include <vector>

namespace hawthornslip {

/**
 * Records the state that a follower reads, so that it can be passed on, before handling it. Of an
 * object that the store has in an older state than this node, the newer one is passed on.
 */
template <typename Value>
class RecordingSink : public FollowerSink<Value>
{
public:
    /** @param sink handles the state; it and @p relay must outlive this object. */
    RecordingSink(StateKind kind, StateRelay &relay, FollowerSink<Value> &sink)
        : m_kind(kind)
        , m_relay(relay)
        , m_sink(sink)
    {}

    void onList(const std::vector<FeedItem<Value>> &items) override
    {
        std::vector<StateObject> objects;
        for (const auto &it : items) {
            passOnIfBehind(it);
            objects.push_back(toObject(it));
        }
        m_relay.log(m_kind).stageList(std::move(objects));
        m_sink.onList(items);
    }

    void onChange(const FeedItem<Value> &item) override
    {
        passOnIfBehind(item);
        m_relay.log(m_kind).stage(toObject(item));
        m_sink.onChange(item);
    }

    void onConfirmed(TimePoint at, StatePosition position) override
    {
        m_sink.onConfirmed(at, position);
        // What may have been lost with the store is not confirmed to other nodes either.
        const bool isBehind = m_sink.isStoreBehind();
        m_relay.setStoreBehind(m_kind, isBehind);
        m_relay.commit(m_kind, position, isBehind ? TimePoint{} : at);
    }

    void onStoreRecovered(Duration away) override { m_sink.onStoreRecovered(away); }
    void onStoreRestored() override { m_sink.onStoreRestored(); }
    bool isStoreBehind() const override { return m_sink.isStoreBehind(); }

private:
    /** Followers that have read the older state themselves wait for the newer one. */
    void passOnIfBehind(const FeedItem<Value> &item)
    {
        if (m_sink.isStoreBehind())
            m_relay.log(m_kind).passOnAgain(item.name);
    }

    StateObject toObject(const FeedItem<Value> &item) const
    {
        const StateObject *known =
                m_sink.isOutdated(item) ? m_relay.log(m_kind).find(item.name) : nullptr;
        if (known != nullptr && !known->removed)
            return *known;
        return {item.name, item.removed, item.encoded};
    }

    StateKind m_kind;
    StateRelay &m_relay;
    FollowerSink<Value> &m_sink;
};

} // namespace hawthornslip
