#pragma once

#include "core/interfaces/event_loop.h"
#include "core/interfaces/stream_server.h"
#include "core/interfaces/upstream_client.h"
#include "core/interfaces/wire_dialect.h"
#include "core/logger.h"
#include "core/reasons.h"
#include "modules/balancing/service_balancer.h"
#include "modules/quarantine/prompt_quarantine.h"
#include "modules/queueing/admission.h"
#include "modules/retry/execution_tracker.h"
#include "modules/routing/route_table.h"
#include "modules/versions/stream_versions.h"
#include "servers/gateway/answer_relay.h"
#include "servers/gateway/service_context.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

class Gateway;

/** Handles one request of a caller from its arrival to its final answer, including retries. */
class Exchange : public CallerEvents, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(Gateway &gateway, HttpRequest request, std::shared_ptr<ResponseWriter> writer);

    /** Routes the request, then sends, holds or refuses it; a refusal is answered at once. */
    void start();

    /** Gives the caller its final answer now, which says whether the request may have run. */
    void end(Reason reason);

    void onCallerGone() override;
    void onSendBufferEmpty() override;
    void onMemoryFull() override;

private:
    class Attempt;
    friend class Attempt;

    Reason findRoute();
    Reason authenticate(const RouteTable &table);
    void prepareDemand();

    /** Continues once it is known at which version the request may run. */
    void begin();
    /** @return true if the request takes up a stream whose first events its caller has. */
    bool isTakeUp() const;
    StreamKey ownStreamKey() const;
    void onOriginKnown(const std::optional<StreamOrigin> &origin);
    void recordFirstEvent();
    /** @return false if no upstream can be shown to continue the stream that has begun. */
    bool mayGoOnElsewhere() const;

    void admitOrHold();
    HoldQueue::SendResult trySendHeld();
    AdmissionDecision admit();
    /** @return true when the request waits behind held ones of workspaces below their share. */
    bool mustYieldToHeld() const;
    /** @return the key of its workspace; 0 unless engine time is divided between workspaces. */
    std::uint32_t workspaceInShares() const;
    void recordAsked(TimePoint now);
    bool isQuarantined();
    HoldRank holdRank() const;
    void send(const RequestPlacement &placement);
    ForwardMeta forwardMeta() const;

    void onHead(int status, HttpHeaders headers);
    bool onPiece(std::string_view piece);
    void onAttemptEnd(const UpstreamEnd &end);
    void onCompleteAnswer(const UpstreamEnd &end);
    void onStreamEnd(bool endedByClose);
    void onNotRun();
    void onUnprovenAnswer();
    void onBufferedAnswer();
    void onBrokenAnswer(const UpstreamEnd &end);
    void endTooLongAnswer();
    void noteGoesOn();
    /** Counts the request for its workspace, once. */
    void countUsage();
    /** @return true when a crash on the prompt itself would have come. */
    bool hasPassedBeginning() const;
    /** @param mayBeWhole the answer is whole unless its upstream has ended. */
    void reportLostAttempt(bool mayBeWhole);
    void closeAttempt(AttemptOutcome outcome);
    void cancelAttempt();
    bool tryRetry(bool reached);
    Reason failureReason(const UpstreamEnd &end) const;

    void onTimeout();
    void relayAnswer();
    void failOrAbort(Reason reason);
    void fail(Reason reason);
    void finish(int status, Reason reason);
    void logQuarantined(const QuarantineHold &hold) const;
    void logLostAttempt(const UpstreamEnd &end) const;
    void logDone(LogLevel level, int status, Reason reason, TimePoint now) const;
    Duration timeLeft() const;
    Duration retryAfter(Reason reason);

    Gateway &m_gateway;
    HttpRequest m_request;
    /** The body of the request, one copy for all attempts. */
    std::shared_ptr<const std::string> m_body;
    AnswerRelay m_relay;
    RequestMeta m_meta;
    TimePoint m_arrivedAt;
    TimePoint m_deadline = TimePoint::max();
    TimerId m_timer = 0;
    /** Time spent on earlier attempts of the caller, estimated from its remaining time. */
    Duration m_spentBefore{0};
    bool m_done = false;
    bool m_callerGone = false;

    std::shared_ptr<const RouteTable> m_table;
    const Route *m_route = nullptr;
    const KeyedWorkspace *m_workspace = nullptr;
    ServiceContext *m_service = nullptr;
    RequestDemand m_demand;
    PromptTraits m_traits;
    SharedRequest m_shared;
    bool m_isAskedRecorded = false;
    /** Time until requests like this one are sent again. */
    Duration m_quarantineLeft{0};

    ExecutionTracker m_executionTracker;
    /** Upstreams that the request was sent to, including those that could not be reached. */
    std::vector<UpstreamId> m_tried;
    std::uint32_t m_sentAttempts = 0;
    std::uint32_t m_connectFailures = 0;
    std::uint64_t m_attemptNumber = 0;
    std::shared_ptr<UpstreamCall> m_call;
    RequestPlacement m_placement;
    HoldQueue::Ticket m_ticket = 0;
    TimePoint m_sentAt{};
    /** Time of the first output of the current attempt. */
    TimePoint m_begunAt{};
    bool m_hasGoneOn = false;
    bool m_isCounted = false;
    /** Where the stream began; set before anything of it is relayed. */
    std::optional<StreamOrigin> m_origin;
};

} // namespace hawthornslip
