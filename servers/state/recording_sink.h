#pragma once

#include "servers/state/feed_follower.h"
#include "servers/state/state_relay.h"

#include <utility>
#include <vector>

namespace hawthornslip {

/** Records the state that a follower reads, so that it can be passed on, before handling it. */
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
        for (const auto &it : items)
            objects.push_back(toObject(it));
        m_relay.log(m_kind).stageList(std::move(objects));
        m_sink.onList(items);
    }

    void onChange(const FeedItem<Value> &item) override
    {
        m_relay.log(m_kind).stage(toObject(item));
        m_sink.onChange(item);
    }

    void onConfirmed(TimePoint at, StatePosition position) override
    {
        m_sink.onConfirmed(at, position);
        m_relay.commit(m_kind, position, at);
    }

    void onStoreRecovered() override { m_sink.onStoreRecovered(); }
    void onStoreRestored() override { m_sink.onStoreRestored(); }

private:
    static StateObject toObject(const FeedItem<Value> &item)
    {
        return {item.name, item.removed, item.encoded};
    }

    StateKind m_kind;
    StateRelay &m_relay;
    FollowerSink<Value> &m_sink;
};

} // namespace hawthornslip
