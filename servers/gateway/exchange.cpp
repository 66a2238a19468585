#include "servers/gateway/exchange.h"

#include "core/http_status.h"
#include "core/logger.h"
#include "core/metric_names.h"
#include "modules/ownership/rendezvous_hash.h"
#include "servers/gateway/forwarding.h"
#include "servers/gateway/gateway.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

// Failed connections count neither as attempts nor against the retry budget, but they take time.
constexpr std::uint32_t kMaxConnectFailures = 3;
// With less time left than this a retry only wastes work.
constexpr Duration kMinRetryTime = milliseconds(50);
// An upstream that crashes on a prompt does so as it begins to answer it; what it wrote by then may
// come in several pieces.
constexpr Duration kBeginning = milliseconds(50);
constexpr std::string_view kEventStream = "text/event-stream";

bool isEventStream(const HttpHeaders &headers)
{
    const auto *type = findHeader(headers, "content-type");
    return type != nullptr && type->starts_with(kEventStream);
}

/** Takes the body of @p request with its charge. @return nullptr without a body. */
std::shared_ptr<const std::string> shareBody(HttpRequest &request)
{
    struct SharedBody
    {
        std::string text;
        std::shared_ptr<void> charge;
    };
    if (request.body.empty())
        return nullptr;
    auto body = std::make_shared<SharedBody>(
            SharedBody{std::move(request.body), std::move(request.bodyCharge)});
    const std::string *text = &body->text;
    return {std::move(body), text};
}

} // namespace

/** Passes the answer of one attempt to the exchange while that attempt is the current one. */
class Exchange::Attempt : public UpstreamHandler
{
public:
    Attempt(std::shared_ptr<Exchange> exchange, std::uint64_t number)
        : m_exchange(std::move(exchange))
        , m_number(number)
    {}

    void onHeaders(int status,
                   const std::vector<std::pair<std::string, std::string>> &headers) override
    {
        if (isCurrent())
            m_exchange->onHead(status, headers);
    }

    bool onData(std::string_view piece) override
    {
        return !isCurrent() || m_exchange->onPiece(piece);
    }

    std::size_t heldBytes() const override
    {
        return isCurrent() ? m_exchange->m_relay.heldBytes() : 0;
    }

    void onEnd(const UpstreamEnd &end) override
    {
        if (isCurrent())
            m_exchange->onAttemptEnd(end);
    }

private:
    bool isCurrent() const { return m_exchange->m_call && m_exchange->m_attemptNumber == m_number; }

    std::shared_ptr<Exchange> m_exchange;
    std::uint64_t m_number;
};

Exchange::Exchange(Gateway &gateway, HttpRequest request, std::shared_ptr<ResponseWriter> writer)
    : m_gateway(gateway)
    , m_request(std::move(request))
    , m_body(shareBody(m_request))
    , m_relay(gateway.parts().loop, std::move(writer))
    , m_meta(gateway.parts().dialect.readRequest(m_request.headers))
    , m_arrivedAt(gateway.parts().loop.now())
{}

void Exchange::start()
{
    if (m_gateway.isRefusing()) {
        fail(Reason::Draining);
        return;
    }
    if (const Reason reason = findRoute(); reason != Reason::None) {
        fail(reason);
        return;
    }
    m_deadline =
            m_arrivedAt + std::min(m_route->timeout, m_meta.timeLeft.value_or(m_route->timeout));
    m_timer = m_gateway.parts().loop.after(m_deadline - m_arrivedAt,
                                           [self = shared_from_this()] { self->onTimeout(); });
    if (!isTakeUp()) {
        if (m_meta.timeLeft)
            m_spentBefore = m_gateway.spentBefore(m_route->name, *m_meta.timeLeft);
        begin();
        return;
    }
    m_gateway.versions().resolve(ownStreamKey(), m_service->name,
                                 [self = shared_from_this()](const auto &origin) {
                                     if (!self->m_done)
                                         self->onOriginKnown(origin);
                                 });
}

void Exchange::begin()
{
    m_service->retryBudget.onRequest(m_arrivedAt);
    prepareDemand();
    m_service->balancer.onRequest(m_demand, m_arrivedAt);
    admitOrHold();
}

Reason Exchange::findRoute()
{
    m_table = m_gateway.state().config().table();
    if (!m_table || !m_gateway.state().isComplete())
        return Reason::NotReady;
    const auto *host = m_request.header("host");
    m_route = m_table->findRoute(host == nullptr ? "" : *host, m_request.path);
    if (m_route == nullptr)
        return Reason::UnknownRoute;
    if (const Reason reason = authenticate(*m_table); reason != Reason::None)
        return reason;
    const auto *service = chooseTarget(*m_route, m_gateway.random()());
    if (service == nullptr)
        return Reason::NoUpstream;
    m_service = &m_gateway.serviceContext(*service);
    return Reason::None;
}

Reason Exchange::authenticate(const RouteTable &table)
{
    if (m_route->isPublic || !table.requiresApiKeys())
        return Reason::None;
    // A key may have been revoked or added since the last update from the store.
    if (!m_gateway.state().mayTrustKeys())
        return Reason::StoreUnavailable;
    m_workspace = table.findWorkspace(m_meta.apiKey);
    return m_workspace == nullptr ? Reason::Unauthenticated : Reason::None;
}

bool Exchange::isTakeUp() const
{
    return m_route->kind == RouteKind::Streaming && m_route->resumable &&
           m_meta.lastEventId.has_value();
}

StreamKey Exchange::ownStreamKey() const
{
    const auto *host = m_request.header("host");
    const std::string &id =
            isTakeUp() && !m_meta.resumes.empty() ? m_meta.resumes : m_meta.requestId;
    return streamKey({id, m_workspace == nullptr ? "" : m_workspace->name,
                      host == nullptr ? "" : *host, m_request.path,
                      m_meta.prompt.empty() ? "" : m_meta.prompt.back().id});
}

void Exchange::onOriginKnown(const std::optional<StreamOrigin> &origin)
{
    const auto isOrigin = [&origin](const auto &it) { return it.service == origin->service; };
    if (!origin || !std::ranges::any_of(m_route->targets, isOrigin) ||
        !m_gateway.versions().mayGoOnElsewhere(*origin)) {
        fail(Reason::VersionUnknown);
        return;
    }
    m_origin = origin;
    m_demand.softwareVersion = origin->version;
    m_service = &m_gateway.serviceContext(origin->service);
    begin();
}

void Exchange::recordFirstEvent()
{
    if (!m_relay.isStream() || !m_route->resumable)
        return;
    const UpstreamEntry &upstream = m_placement.upstream;
    if (!m_origin)
        m_origin = {upstream.service, upstream.softwareVersion};
    m_demand.softwareVersion = m_origin->version;
    m_gateway.versions().onFirstEvent(ownStreamKey(), upstream);
}

bool Exchange::mayGoOnElsewhere() const
{
    return !m_origin || m_gateway.versions().mayGoOnElsewhere(*m_origin);
}

void Exchange::prepareDemand()
{
    // The workspace's priority takes precedence over the route's.
    constexpr int kRouteLevels = 3;
    const int workspace = m_workspace == nullptr ? 0 : std::max(0, m_workspace->priority);
    const int route = std::clamp(m_route->priority, 0, kRouteLevels - 1);
    m_demand.urgency = std::min(static_cast<std::size_t>(workspace * kRouteLevels + route),
                                kUrgencyLevels - 1);
    if (m_meta.prompt.empty())
        return;
    m_demand.ownTokens = m_meta.prompt.back().tokens;
    for (std::size_t i = 0; i + 1 < m_meta.prompt.size(); ++i) {
        const auto &[id, tokens] = m_meta.prompt[i];
        m_demand.sharedTokens += tokens;
        m_traits.segments.push_back(XXH3_64bits(id.data(), id.size()));
    }
    if (m_workspace != nullptr)
        m_traits.workspace = rendezvousMemberHash(m_workspace->name);
    // The id of the last shared part implies all parts before it.
    if (!m_traits.segments.empty())
        m_demand.affinityKey = m_traits.segments.back();
    auto &interference = m_service->interference;
    interference.onRequest(m_route->name, m_route->pauseObjective,
                           static_cast<double>(m_demand.sharedTokens) + m_demand.ownTokens,
                           m_arrivedAt);
    m_demand.tolerance = interference.toleranceOf(m_route->name,
                                                  m_table->shortestPauseObjective(m_service->name),
                                                  m_service->balancer.peakPrefillRate());
}

void Exchange::send(const RequestPlacement &placement)
{
    m_placement = placement;
    m_tried.push_back(placement.upstream.id);
    m_executionTracker.beginAttempt();
    m_relay.beginAttempt();
    m_sentAt = m_gateway.parts().loop.now();
    m_hasGoneOn = false;
    m_begunAt = TimePoint{};
    m_service->balancer.onSent(placement, m_sentAt);
    m_service->shares.onGiven(m_shared, m_sentAt);
    m_gateway.promptGuard().onSent(m_traits);
    m_gateway.notifyLoadChanged();
    // Set before the call starts: from then on the driver may send bytes at any moment.
    m_executionTracker.setState(AttemptState::Sent);
    const std::uint64_t number = ++m_attemptNumber;
    m_call = m_gateway.parts().client.send(
            makeUpstreamRequest(m_request, placement.upstream, forwardMeta(),
                                m_gateway.parts().dialect, m_meta.requestId, m_body),
            std::make_shared<Attempt>(shared_from_this(), number));
}

ForwardMeta Exchange::forwardMeta() const
{
    ForwardMeta meta;
    meta.timeLeft = timeLeft();
    if (m_workspace != nullptr)
        meta.workspace = m_workspace->name;
    if (!m_meta.prompt.empty())
        meta.priority = static_cast<int>(m_demand.urgency);
    meta.lastEventId = m_relay.lastEventId() ? m_relay.lastEventId() : m_meta.lastEventId;
    meta.promptSource = m_placement.kvSourceAddress;
    return meta;
}

void Exchange::onHead(int status, HttpHeaders headers)
{
    const AnswerEvidence answer(status, m_gateway.parts().dialect.readResponse(status, headers));
    // A stream goes on only with an answer like the one that it began with.
    const bool hasStreamStatus =
            m_relay.hasBegun() ? status == m_relay.status() : isSuccess(status);
    const bool isStream = m_route->kind == RouteKind::Streaming && hasStreamStatus &&
                          answer.hasStamp() && isEventStream(headers);
    if (!answer.isNotRun())
        m_executionTracker.setState(AttemptState::Begun);
    m_gateway.onUpstreamAnswer(m_placement.upstream.id, answer);
    m_relay.onHead(std::move(headers), answer, isStream);
}

bool Exchange::onPiece(std::string_view piece)
{
    const bool hadOutput = m_relay.hasFirstOutput();
    const bool mayContinue = m_relay.onPiece(piece);
    if (!hadOutput && m_relay.hasFirstOutput()) {
        m_begunAt = m_gateway.parts().loop.now();
        m_service->balancer.onFirstEvent(m_placement, m_begunAt - m_sentAt, m_begunAt);
        countUsage();
        recordFirstEvent();
    }
    m_gateway.promptGuard().onBytes(m_placement.upstream, m_sentAt);
    if (m_relay.attemptEvents() > 1 && hasPassedBeginning())
        noteGoesOn();
    if (m_relay.isTooLong()) {
        endTooLongAnswer();
        return true;
    }
    if (m_relay.isMisplaced()) {
        std::exchange(m_call, nullptr)->cancel();
        onBrokenAnswer({UpstreamResult::Cancelled, m_relay.attemptStatus(), "not the rest", false});
        return true;
    }
    return mayContinue;
}

void Exchange::onAttemptEnd(const UpstreamEnd &end)
{
    m_call.reset();
    if (end.result == UpstreamResult::Complete)
        onCompleteAnswer(end);
    else
        onBrokenAnswer(end);
}

void Exchange::onCompleteAnswer(const UpstreamEnd &end)
{
    const auto missing = AnswerEvidence::findMissingPart(m_relay.ending(end.endedByClose));
    if (!missing.empty()) {
        onBrokenAnswer({UpstreamResult::Broken, m_relay.attemptStatus(), std::string(missing)});
        return;
    }
    m_executionTracker.setState(m_relay.evidence().stateWhenComplete());
    if (m_relay.isStream() || m_relay.isPassedThrough())
        onStreamEnd(end.endedByClose);
    else if (m_relay.evidence().isNotRun())
        onNotRun();
    else if (!m_relay.evidence().isProven())
        onUnprovenAnswer();
    else
        onBufferedAnswer();
}

void Exchange::onStreamEnd(bool endedByClose)
{
    // A process that ends closes its connections as one that has finished its answer does.
    if (endedByClose && !m_hasGoneOn)
        reportLostAttempt(true);
    else if (m_relay.attemptEvents() > 0)
        noteGoesOn();
    closeAttempt(AttemptOutcome::Succeeded);
    const RelayStats &stats = m_relay.stats();
    if (stats.events > 1 && m_attemptNumber == 1)
        m_service->interference.onStream(m_route->name,
                                         (stats.lastEventAt - stats.firstOutputAt) /
                                                 static_cast<std::int64_t>(stats.events - 1));
    m_service->shares.onAnswered(m_route->name, m_gateway.parts().loop.now() - m_sentAt);
    relayAnswer();
}

void Exchange::onNotRun()
{
    const bool isOtherUpstream = m_relay.evidence().isOtherUpstream();
    if (isOtherUpstream)
        m_gateway.state().upstreams().markMisdirected(m_placement.upstream.id);
    closeAttempt(isOtherUpstream ? AttemptOutcome::Unreachable : AttemptOutcome::Full);
    if (!tryRetry(true))
        failOrAbort(m_relay.hasBegun() ? Reason::UpstreamRefused : Reason::QueueFull);
}

void Exchange::onUnprovenAnswer()
{
    closeAttempt(AttemptOutcome::Failed);
    if (!m_route->isRepeatable() || !tryRetry(true))
        failOrAbort(isSuccess(m_relay.attemptStatus()) ? Reason::AnswerMismatch
                                                       : Reason::UpstreamFailed);
}

void Exchange::onBufferedAnswer()
{
    if (!m_relay.hasFirstOutput()) {
        const TimePoint now = m_gateway.parts().loop.now();
        m_service->balancer.onFirstEvent(m_placement, now - m_sentAt, now);
    }
    countUsage();
    const bool failed = m_relay.evidence().isFailure();
    closeAttempt(failed ? AttemptOutcome::Failed : AttemptOutcome::Succeeded);
    // After a stream has begun, a plain answer means that this upstream could not continue it.
    const bool isUnusable = m_relay.hasBegun() || (failed && m_route->isRepeatable());
    if (isUnusable && tryRetry(true))
        return;
    if (m_relay.hasBegun())
        failOrAbort(Reason::UpstreamFailed);
    else
        relayAnswer();
}

void Exchange::onBrokenAnswer(const UpstreamEnd &end)
{
    const bool reached = end.result != UpstreamResult::ConnectFailed;
    m_executionTracker.setState(reached ? AttemptState::Lost : AttemptState::NotSent);
    logLostAttempt(end);
    if (end.result == UpstreamResult::Broken && !m_hasGoneOn)
        reportLostAttempt(false);
    closeAttempt(reached ? AttemptOutcome::Failed : AttemptOutcome::Unreachable);
    const bool mayRetry = m_relay.canContinue() &&
                          (m_executionTracker.isCertainlyNotRun() || m_route->isRepeatable());
    if (!mayRetry || !tryRetry(reached))
        failOrAbort(failureReason(end));
}

void Exchange::endTooLongAnswer()
{
    std::exchange(m_call, nullptr)->cancel();
    if (!m_relay.evidence().isNotRun()) {
        onBrokenAnswer({UpstreamResult::Broken, m_relay.attemptStatus(), "answer too long", false});
        return;
    }
    m_executionTracker.setState(AttemptState::Refused);
    onNotRun();
}

Reason Exchange::failureReason(const UpstreamEnd &end) const
{
    if (end.result == UpstreamResult::ConnectFailed)
        return m_executionTracker.isCertainlyNotRun() ? Reason::NoUpstream
                                                      : Reason::UpstreamUnreachable;
    return Reason::UpstreamFailed;
}

bool Exchange::tryRetry(bool reached)
{
    if (reached)
        ++m_sentAttempts;
    else
        ++m_connectFailures;
    if (m_callerGone || timeLeft() < kMinRetryTime)
        return false;
    if (m_sentAttempts >= m_route->maxAttempts || m_connectFailures > kMaxConnectFailures)
        return false;
    if (isQuarantined() || !mayGoOnElsewhere())
        return false;
    const TimePoint now = m_gateway.parts().loop.now();
    // Updates the balancer's upstreams from the directory.
    m_gateway.serviceContext(m_service->name);
    const auto placement = m_service->balancer.place(m_demand, m_tried, now);
    if (!placement || placement->isOverLimit)
        return false;
    // If no upstream was reached yet, this is the first attempt and takes no retry budget.
    if (m_sentAttempts > 0 && !m_service->retryBudget.tryTake(now))
        return false;
    m_gateway.parts().metrics.count(metric::kRetries,
                                    {{"profile", m_route->name}, {"reason", m_service->name}});
    send(*placement);
    return true;
}

void Exchange::noteGoesOn()
{
    if (!std::exchange(m_hasGoneOn, true) && !m_traits.segments.empty())
        m_gateway.promptGuard().onAnswerGoesOn(m_traits, m_begunAt);
}

void Exchange::countUsage()
{
    UsageSink *const usage = m_gateway.usageSink();
    if (usage != nullptr && m_workspace != nullptr && !std::exchange(m_isCounted, true))
        usage->onRequestBegun(m_workspace->name);
}

bool Exchange::hasPassedBeginning() const
{
    return m_gateway.parts().loop.now() - m_begunAt >= kBeginning;
}

void Exchange::reportLostAttempt(bool mayBeWhole)
{
    m_gateway.promptGuard().onAttemptLost({m_meta.requestId, m_placement.upstream, m_traits,
                                           m_sentAt, m_relay.attemptStatus() != 0, mayBeWhole,
                                           m_begunAt});
}

void Exchange::closeAttempt(AttemptOutcome outcome)
{
    m_service->balancer.onEnded(m_placement, outcome, m_gateway.parts().loop.now());
    m_gateway.notifyLoadChanged();
}

void Exchange::cancelAttempt()
{
    const auto call = std::exchange(m_call, nullptr);
    closeAttempt(AttemptOutcome::Neutral);
    call->cancel();
}

void Exchange::relayAnswer()
{
    m_relay.complete();
    if (m_origin)
        m_gateway.versions().onComplete(ownStreamKey());
    finish(m_relay.status(), Reason::None);
}

void Exchange::failOrAbort(Reason reason)
{
    if (!m_relay.hasBegun()) {
        fail(reason);
        return;
    }
    m_relay.abort();
    finish(m_relay.status(), reason);
}

void Exchange::fail(Reason reason)
{
    int status = reasonInfo(reason).httpStatus;
    const Execution execution = m_executionTracker.execution();
    if (impliesNotRun(status) && execution != Execution::NotRun)
        status = kBadGateway;
    const std::string body =
            fmt::format(R"({{"error":"{}","execution":"{}"}})", nameOf(reason), nameOf(execution));
    HttpHeaders headers = {{"Content-Type", "application/json"}};
    if (impliesNotRun(status))
        headers.emplace_back("Retry-After", fmt::format("{:.3f}", toSeconds(retryAfter(reason))));
    m_relay.answer(status, headers, body);
    finish(status, reason);
}

void Exchange::onTimeout()
{
    m_timer = 0;
    end(Reason::DeadlineExceeded);
}

void Exchange::end(Reason reason)
{
    if (m_done)
        return;
    if (m_call) {
        cancelAttempt();
        if (m_executionTracker.current() == AttemptState::Sent)
            m_executionTracker.setState(AttemptState::Lost);
    }
    failOrAbort(reason);
}

void Exchange::onCallerGone()
{
    if (m_done)
        return;
    m_callerGone = true;
    if (!m_call) {
        finish(reasonInfo(Reason::CallerGone).httpStatus, Reason::CallerGone);
        return;
    }
    // A non-idempotent request may be half done at the upstream; cancelling it would leave its
    // outcome unknown.
    if (m_route->kind == RouteKind::NonIdempotent)
        return;
    cancelAttempt();
    finish(reasonInfo(Reason::CallerGone).httpStatus, Reason::CallerGone);
}

void Exchange::onSendBufferEmpty()
{
    if (m_call)
        m_call->resume();
}

void Exchange::onMemoryFull()
{
    if (!m_relay.hasBegun())
        end(Reason::MemoryFull);
}

Duration Exchange::timeLeft() const
{
    return std::max(Duration(0), m_deadline - m_gateway.parts().loop.now());
}

void Exchange::finish(int status, Reason reason)
{
    if (m_done)
        return;
    m_done = true;
    m_gateway.onExchangeDone(*this);
    if (m_ticket != 0)
        m_service->holdQueue.remove(std::exchange(m_ticket, 0));
    auto &parts = m_gateway.parts();
    parts.loop.cancel(std::exchange(m_timer, 0));
    const TimePoint now = parts.loop.now();
    parts.metrics.count(metric::kRequests, {{"result", nameOf(reason)}});
    parts.metrics.observe(metric::kRequestDuration, {}, toSeconds(now - m_arrivedAt));
    if (reason != Reason::None)
        parts.metrics.count(metric::kRefusals,
                            {{"reason", nameOf(reason)},
                             {"execution", nameOf(m_executionTracker.execution())}});
    const LogLevel level = reason == Reason::None ? LogLevel::Info : LogLevel::Warning;
    if (m_gateway.mayLogRequest(level))
        logDone(level, status, reason, now);
}

} // namespace hawthornslip
