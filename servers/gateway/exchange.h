#pragma once

#include "core/interfaces/event_loop.h"
#include "core/interfaces/stream_server.h"
#include "core/interfaces/upstream_client.h"
#include "core/interfaces/wire_dialect.h"
#include "core/reasons.h"
#include "modules/balancing/service_balancer.h"
#include "modules/relay/event_splitter.h"
#include "modules/retry/run_ledger.h"
#include "modules/routing/route_table.h"
#include "servers/gateway/service_lane.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

class Gateway;

/** One request of a caller from its arrival to its final answer. */
class Exchange : public CallerEvents, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(Gateway &gateway, HttpRequest request, std::shared_ptr<AnswerWriter> writer);

    /** Decides about the request and sends it on; may answer at once. */
    void start();

    void onCallerGone() override;
    void onDrained() override;

private:
    class Attempt;
    friend class Attempt;

    /** How the answer of the present attempt is handled. */
    enum class Relay {
        /** The head was not read yet. */
        Unknown,
        /** The answer is collected and relayed once it is complete. */
        Whole,
        /** Pieces are relayed as they come. */
        Pieces,
        /** Events are relayed as they become whole. */
        Events
    };

    Reason findRoute();
    Reason authenticate(const RouteTable &table);
    void prepareDemand();
    void place();
    HoldQueue::Offer offer();
    void hold(const Placement &placement);
    bool isRoomAt(const Placement &placement) const;
    bool isHopeless(const Placement &placement) const;
    bool goesBeforeOthers() const;
    HoldRank holdRank() const;
    void send(const Placement &placement);
    UpstreamRequest buildRequest(const UpstreamEntry &upstream) const;
    HttpHeaders forwardHeaders(const UpstreamEntry &upstream) const;

    void onHead(int status, HttpHeaders headers);
    bool onPiece(std::string_view piece);
    void onAttemptEnd(const UpstreamEnd &end);
    void onWholeAnswer(const UpstreamEnd &end);
    void onBrokenAnswer(const UpstreamEnd &end);
    void onEvent(const StreamEvent &event);
    void noteFirstEvent();
    void closeAttempt(AttemptVerdict verdict);

    bool tryAgain(bool arrived);
    Reason failureReason(const UpstreamEnd &end) const;

    void beginRelay(std::optional<std::size_t> length);
    void relayWhole();
    void fail(Reason reason);
    void abortAnswer(Reason reason);
    void onTimeout();
    void finish(int status, Reason reason);
    Duration timeLeft() const;
    std::optional<Duration> returnAdvice(Reason reason);

    Gateway &m_gateway;
    HttpRequest m_request;
    std::shared_ptr<AnswerWriter> m_writer;
    CallMeta m_meta;
    TimePoint m_arrived;
    TimePoint m_endBy = TimePoint::max();
    TimerId m_timer = 0;
    /** Time that the caller spent on earlier tries, as its time left shows. */
    Duration m_spentBefore{0};
    bool m_done = false;
    bool m_callerGone = false;

    std::shared_ptr<const RouteTable> m_table;
    const Route *m_route = nullptr;
    const KeyedWorkspace *m_workspace = nullptr;
    ServiceLane *m_lane = nullptr;
    Demand m_demand;

    RunLedger m_ledger;
    /** Upstreams that got the request, and those that could not be reached. */
    std::vector<UpstreamId> m_tried;
    std::uint32_t m_sent = 0;
    std::uint32_t m_unreached = 0;
    std::uint64_t m_attempt = 0;
    std::shared_ptr<UpstreamCall> m_call;
    Placement m_placement;
    UpstreamEntry m_upstream;
    HoldQueue::Ticket m_ticket = 0;
    TimePoint m_sentAt{};
    bool m_hadFirstEvent = false;

    Relay m_relay = Relay::Unknown;
    int m_status = 0;
    HttpHeaders m_headers;
    AnswerMeta m_answer;
    std::string m_body;
    EventSplitter m_splitter;
    bool m_begun = false;
    std::optional<std::uint64_t> m_lastEvent;
    std::uint64_t m_events = 0;
    TimePoint m_firstByteAt{};
    TimePoint m_lastEventAt{};
    Duration m_longestPause{0};
};

} // namespace hawthornslip
