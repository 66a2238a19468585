#pragma once

#include "core/interfaces/event_loop.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/stream_server.h"
#include "modules/freshness/state_log.h"
#include "servers/state/state_kind.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

/**
 * Passes the shared state that this node reads from the store on to the other nodes of its failure
 * domain, over HTTP: `GET /state/KIND` returns the complete list, with
 * `?after=REVISION&era=ERA&wait_ms=N` the changes since a position, or that its history is gone;
 * without an era, in the era of this node. A call without changes, or before this node has read its
 * own list, is held until the store has confirmed the state once more or the wait is over.
 *
 * A node that follows another one, or has no contact with the store, refuses calls with 503, so
 * that its callers turn to another node. Each reply carries the age of its confirmation.
 */
class StateRelay : public RequestSink
{
public:
    StateRelay(EventLoop &loop, Metrics &metrics);
    ~StateRelay() override;

    /** Sets the test whether this node reads @p kind from the store and its calls succeed. */
    void setServing(StateKind kind, std::function<bool()> isServing);

    /** @return the state of @p kind, for staging objects that were read. */
    StateLog &log(StateKind kind) { return state(kind).log; }

    /** Commits the staged objects and answers the held calls. Parameters as of StateLog. */
    void commit(StateKind kind, StatePosition position, TimePoint confirmedAt);

    /** Records whether the store has an older state of @p kind than this node passes on. */
    void setStoreBehind(StateKind kind, bool behind) { state(kind).isStoreBehind = behind; }

    /** @return true when other nodes have asked this one for state in the last seconds. */
    bool hasFollowers() const;

    /** Refuses all held calls, as this node has lost contact with the store. */
    void refuseHeld();

    std::shared_ptr<CallerEvents> onRequest(HttpRequest request,
                                            std::shared_ptr<ResponseWriter> writer) override;
    CallerLimits limits() const override { return {}; }
    bool isStopping() const override { return m_stopping; }
    void onBadInput(int status, std::string_view cause) override;

    /** Closes connections after their next answer and refuses new calls. */
    void beginStop();

private:
    /** A call that waits for changes. */
    struct HeldCall
    {
        std::optional<StatePosition> after;
        std::shared_ptr<ResponseWriter> writer;
        TimePoint arrivedAt{};
        TimerId timer = 0;
    };
    class HeldCallEvents;
    using HeldCalls = std::vector<std::shared_ptr<HeldCall>>;

    struct KindState
    {
        StateLog log;
        bool isStoreBehind = false;
        std::function<bool()> isServing;
        HeldCalls held;
    };

    KindState &state(StateKind kind) { return m_states[static_cast<std::size_t>(kind)]; }
    bool isServing(KindState &state) const;
    void reply(const KindState &state, const HeldCall &call);
    void refuse(const HeldCall &call, int status);
    /** Answers all held calls of @p state, or refuses them if this node does not serve them. */
    void answerHeld(KindState &state);
    void drop(KindState &state, const std::shared_ptr<HeldCall> &call);

    EventLoop &m_loop;
    Metrics &m_metrics;
    std::array<KindState, kStateKindNames.size()> m_states;
    TimePoint m_servedAt{};
    bool m_stopping = false;
};

} // namespace hawthornslip
