#include "servers/gateway/exchange.h"

#include "core/logger.h"
#include "core/metric_names.h"
#include "servers/gateway/gateway.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

constexpr int kFirstFailureStatus = 500;
constexpr int kFirstSuccessStatus = 200;
constexpr int kFirstRedirectStatus = 300;
constexpr int kBadGateway = 502;
// Answers up to this size are collected, so that one that breaks off can be asked for again.
constexpr std::size_t kMaxCollected = 256 << 10;
// Bytes that a slow caller may leave behind before its upstream is paused.
constexpr std::size_t kMaxBacklog = 64 << 10;
// Upstreams that could not be reached cost no run and no budget, but time.
constexpr std::uint32_t kMaxUnreached = 3;
constexpr Duration kConnectTimeout = milliseconds(400);
// With less time than this a repeat only wastes work.
constexpr Duration kLeastRepeatTime = milliseconds(50);
// Work that an engine may have before it when a request is sent: what is sent cannot be overtaken.
constexpr Duration kLeastAhead = milliseconds(100);
constexpr int kAheadPart = 6;
// When to come back to another node; the spread keeps a refused crowd from returning at once.
constexpr Duration kSoonest = milliseconds(100);
constexpr Duration kSoon = milliseconds(600);
constexpr int kSoonPart = 4;
// Part of its objective that a request is held at most; the rest is for its answer.
constexpr int kHoldPart = 2;
// Shared prompts from this size on take an engine as long to read as a dialogue takes in all.
constexpr std::uint32_t kLargeShared = 2000;
// Part of its objective that a request waits for an engine that keeps its shared prompt.
constexpr int kHomeHoldPart = 4;
constexpr std::string_view kEventStream = "text/event-stream";

bool isSuccess(int status)
{
    return status >= kFirstSuccessStatus && status < kFirstRedirectStatus;
}

/** @return the headers that the caller's Connection header names, in lower case. */
std::vector<std::string> namedInConnection(const HttpHeaders &headers)
{
    std::vector<std::string> names(1);
    const auto *list = findHeader(headers, "connection");
    for (const unsigned char it : list == nullptr ? std::string() : *list) {
        if (it == ',')
            names.emplace_back();
        else if (it != ' ' && it != '\t')
            names.back() += static_cast<char>(it >= 'A' && it <= 'Z' ? it + 32 : it);
    }
    return names;
}

} // namespace

/** Hands the answer of one attempt to the exchange as long as it is the present one. */
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
        if (isPresent())
            m_exchange->onHead(status, headers);
    }

    bool onData(std::string_view piece) override
    {
        return !isPresent() || m_exchange->onPiece(piece);
    }

    void onEnd(const UpstreamEnd &end) override
    {
        if (isPresent())
            m_exchange->onAttemptEnd(end);
    }

private:
    bool isPresent() const { return m_exchange->m_call && m_exchange->m_attempt == m_number; }

    std::shared_ptr<Exchange> m_exchange;
    std::uint64_t m_number;
};

Exchange::Exchange(Gateway &gateway, HttpRequest request, std::shared_ptr<AnswerWriter> writer)
    : m_gateway(gateway)
    , m_request(std::move(request))
    , m_writer(std::move(writer))
    , m_meta(gateway.parts().dialect.readCall(m_request.headers))
    , m_arrived(gateway.parts().loop.now())
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
    m_endBy = m_arrived + std::min(m_route->timeout, m_meta.timeLeft.value_or(m_route->timeout));
    m_timer = m_gateway.parts().loop.after(m_endBy - m_arrived,
                                           [self = shared_from_this()] { self->onTimeout(); });
    if (m_meta.timeLeft)
        m_spentBefore = m_gateway.spentBefore(m_route->name, *m_meta.timeLeft);
    m_lane->repeats.onRequest(m_arrived);
    prepareDemand();
    m_lane->balancer.onRequest(m_demand, m_arrived);
    place();
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
    m_lane = &m_gateway.lane(*service);
    return Reason::None;
}

Reason Exchange::authenticate(const RouteTable &table)
{
    if (m_route->isPublic || !table.needsKeys())
        return Reason::None;
    // Without news from the store a key may have been revoked, or added.
    if (!m_gateway.state().mayTrustKeys())
        return Reason::StoreUnavailable;
    m_workspace = table.findWorkspace(m_meta.apiKey);
    return m_workspace == nullptr ? Reason::Unauthenticated : Reason::None;
}

void Exchange::prepareDemand()
{
    // The workspace goes before the route.
    constexpr int kRouteLevels = 3;
    const int workspace = m_workspace == nullptr ? 0 : std::max(0, m_workspace->priority);
    const int route = std::clamp(m_route->priority, 0, kRouteLevels - 1);
    m_demand.level = std::min(static_cast<std::size_t>(workspace * kRouteLevels + route),
                              kUrgencyLevels - 1);
    if (m_meta.prompt.empty())
        return;
    // Streams that allow twice the pause of the tightest ones bear long prompts beside them.
    constexpr int kToleranceFactor = 2;
    const Duration tightest = m_table->tightestPause(m_lane->name);
    if (tightest > Duration(0) && m_route->pauseObjective >= kToleranceFactor * tightest)
        m_demand.tolerance = PauseTolerance::Tolerant;
    m_demand.ownTokens = m_meta.prompt.back().tokens;
    for (std::size_t i = 0; i + 1 < m_meta.prompt.size(); ++i)
        m_demand.sharedTokens += m_meta.prompt[i].tokens;
    // The last shared part implies those before it.
    if (m_meta.prompt.size() > 1) {
        const auto &part = m_meta.prompt[m_meta.prompt.size() - 2].id;
        m_demand.affinityKey = XXH3_64bits(part.data(), part.size());
    }
}

void Exchange::place()
{
    const auto placement = m_lane->balancer.place(m_demand, m_tried, m_gateway.parts().loop.now());
    // A refusal is logged with what it was decided from.
    if (placement)
        m_placement = *placement;
    if (!placement)
        fail(Reason::NoUpstream);
    else if (isRoomAt(*placement) || (isHopeless(*placement) && goesBeforeOthers()))
        send(*placement);
    else if (isHopeless(*placement))
        fail(Reason::DeadlineUnreachable);
    else
        hold(*placement);
}

bool Exchange::isRoomAt(const Placement &placement) const
{
    const Duration ahead = std::max<Duration>(kLeastAhead, m_route->objective / kAheadPart);
    if (placement.isFull || placement.wait > ahead)
        return false;
    // A slot elsewhere is left for a while to those whose shared prompt is kept there.
    const bool isElsewhere =
            placement.homeRank == ServiceBalancer::kHomes && m_demand.sharedTokens > kLargeShared;
    const Duration held = m_gateway.parts().loop.now() - m_arrived;
    return !isElsewhere || held >= m_route->objective / kHomeHoldPart;
}

bool Exchange::isHopeless(const Placement &placement) const
{
    const Duration held = m_gateway.parts().loop.now() - m_arrived;
    const Duration first = m_spentBefore + held + placement.wait + placement.read;
    // A request that is late already is tried, but not held: its caller does better elsewhere.
    return first > m_route->objective || held > m_route->objective / kHoldPart;
}

bool Exchange::goesBeforeOthers() const
{
    // While less urgent requests are let in, this one is not refused on an estimate: it goes first
    // at the engine, and the estimate then keeps the others out.
    return m_demand.ownTokens > 0 && m_spentBefore < m_route->objective &&
           m_lane->hasSentLessUrgent(m_demand.level, m_gateway.parts().loop.now());
}

HoldRank Exchange::holdRank() const
{
    HoldRank rank;
    rank.workspacePriority = m_workspace == nullptr ? 0 : m_workspace->priority;
    rank.routePriority = m_route->priority;
    rank.isLate = m_spentBefore >= m_route->objective;
    rank.dueBy = m_arrived + m_route->objective - m_spentBefore;
    return rank;
}

void Exchange::hold(const Placement &)
{
    m_ticket = m_lane->held.add(holdRank(), [self = shared_from_this()] { return self->offer(); });
    m_gateway.pumpLater(*m_lane);
}

HoldQueue::Offer Exchange::offer()
{
    const auto placement = m_lane->balancer.place(m_demand, m_tried, m_gateway.parts().loop.now());
    if (placement && !isRoomAt(*placement) && !isHopeless(*placement))
        return HoldQueue::Offer::Kept;
    m_ticket = 0;
    if (placement)
        m_placement = *placement;
    if (!placement)
        fail(Reason::NoUpstream);
    else if (isRoomAt(*placement) || goesBeforeOthers())
        send(*placement);
    else
        fail(Reason::DeadlineUnreachable);
    return HoldQueue::Offer::Taken;
}

void Exchange::send(const Placement &placement)
{
    m_placement = placement;
    m_upstream = placement.upstream;
    m_tried.push_back(m_upstream.id);
    m_ledger.beginAttempt();
    m_relay = Relay::Unknown;
    m_body.clear();
    m_splitter.reset();
    m_hadFirstEvent = false;
    m_sentAt = m_gateway.parts().loop.now();
    m_lane->balancer.onSent(placement, m_sentAt);
    m_lane->sentAt[m_demand.level] = m_sentAt;
    m_gateway.noteLoadChanged();
    // From here on the driver may write at any moment.
    m_ledger.set(AttemptState::Sent);
    const std::uint64_t number = ++m_attempt;
    m_call = m_gateway.parts().client.send(buildRequest(m_upstream),
                                           std::make_shared<Attempt>(shared_from_this(), number));
}

UpstreamRequest Exchange::buildRequest(const UpstreamEntry &upstream) const
{
    UpstreamRequest request;
    request.method = m_request.method;
    request.url = "http://" + upstream.address + m_request.path;
    if (!m_request.query.empty())
        request.url += "?" + m_request.query;
    request.headers = forwardHeaders(upstream);
    request.body = m_request.body;
    request.connectTimeout = kConnectTimeout;
    request.totalTimeout = Duration(0);
    request.sendOnce = true;
    request.tagHeader = m_gateway.parts().dialect.answerTagHeader();
    request.tag = m_meta.requestId;
    return request;
}

HttpHeaders Exchange::forwardHeaders(const UpstreamEntry &upstream) const
{
    const auto &dialect = m_gateway.parts().dialect;
    const auto named = namedInConnection(m_request.headers);
    HttpHeaders headers;
    headers.reserve(m_request.headers.size() + 4);
    for (const auto &it : m_request.headers) {
        // The request's own id goes on whatever a caller says of it.
        const bool isNamed = it.first != "host" && it.first != dialect.answerTagHeader() &&
                             std::find(named.begin(), named.end(), it.first) != named.end();
        const bool ofConnection = isConnectionHeader(it.first) || isNamed;
        if (!ofConnection && !dialect.isReserved(it.first))
            headers.push_back(it);
    }
    ForwardMeta meta;
    meta.timeLeft = timeLeft();
    meta.expectedUpstream = upstream.id.value;
    if (m_workspace != nullptr)
        meta.workspace = m_workspace->name;
    if (!m_meta.prompt.empty())
        meta.priority = static_cast<int>(m_demand.level);
    meta.lastEventId = m_lastEvent ? m_lastEvent : m_meta.lastEventId;
    dialect.writeForward(meta, headers);
    return headers;
}

void Exchange::onHead(int status, HttpHeaders headers)
{
    m_answer = m_gateway.parts().dialect.readAnswer(status, headers);
    const auto *type = findHeader(headers, "content-type");
    const bool isStream = m_route->kind == RouteKind::Streaming && isSuccess(status) &&
                          m_answer.isProven && type != nullptr && type->starts_with(kEventStream);
    m_relay = isStream ? Relay::Events : Relay::Whole;
    if (!m_answer.certainlyNotRun)
        m_ledger.set(AttemptState::Begun);
    // A continued stream keeps the head of its first upstream.
    if (m_begun)
        return;
    m_status = status;
    m_headers = std::move(headers);
}

bool Exchange::onPiece(std::string_view piece)
{
    if (m_begun && m_writer->backlog() > kMaxBacklog)
        return false;
    switch (m_relay) {
    case Relay::Events:
        m_splitter.add(piece, [this](const StreamEvent &event) { onEvent(event); });
        break;
    case Relay::Pieces:
        m_writer->write(piece);
        break;
    case Relay::Unknown:
    case Relay::Whole:
        m_body += piece;
        if (m_body.size() > kMaxCollected && isSuccess(m_status) && m_answer.isProven && !m_begun) {
            noteFirstEvent();
            beginRelay(std::nullopt);
            m_writer->write(std::exchange(m_body, {}));
            m_relay = Relay::Pieces;
        }
        break;
    }
    return true;
}

void Exchange::onEvent(const StreamEvent &event)
{
    noteFirstEvent();
    if (event.id && m_lastEvent && *event.id <= *m_lastEvent)
        return;
    if (!m_begun)
        beginRelay(std::nullopt);
    m_writer->write(event.text);
    ++m_events;
    const TimePoint now = m_gateway.parts().loop.now();
    if (m_lastEventAt != TimePoint{})
        m_longestPause = std::max(m_longestPause, now - m_lastEventAt);
    m_lastEventAt = now;
    if (event.id)
        m_lastEvent = event.id;
}

void Exchange::noteFirstEvent()
{
    if (m_hadFirstEvent)
        return;
    m_hadFirstEvent = true;
    const TimePoint now = m_gateway.parts().loop.now();
    m_lane->balancer.onFirstEvent(m_placement, now - m_sentAt);
    if (m_firstByteAt == TimePoint{})
        m_firstByteAt = now;
}

void Exchange::onAttemptEnd(const UpstreamEnd &end)
{
    m_call.reset();
    if (end.result == UpstreamResult::Complete)
        onWholeAnswer(end);
    else
        onBrokenAnswer(end);
}

void Exchange::onWholeAnswer(const UpstreamEnd &)
{
    if (m_relay == Relay::Events) {
        if (m_splitter.pending() > 0) {
            onBrokenAnswer({UpstreamResult::Broken, m_status, "stream ended within an event"});
            return;
        }
        m_ledger.set(AttemptState::Finished);
        closeAttempt(AttemptVerdict::Good);
        if (!m_begun)
            beginRelay(std::nullopt);
        m_writer->end();
        finish(m_status, Reason::None);
        return;
    }
    if (m_relay == Relay::Pieces) {
        closeAttempt(AttemptVerdict::Good);
        m_writer->end();
        finish(m_status, Reason::None);
        return;
    }
    if (m_answer.certainlyNotRun) {
        m_ledger.set(AttemptState::Refused);
        if (m_answer.isOtherUpstream)
            m_gateway.state().upstreams().markLeaving(m_upstream.id);
        closeAttempt(m_answer.isOtherUpstream ? AttemptVerdict::Unreachable : AttemptVerdict::Full);
        if (!tryAgain(true))
            m_begun ? abortAnswer(Reason::UpstreamRefused) : fail(Reason::QueueFull);
        return;
    }
    const bool unproven = isSuccess(m_status) && !m_answer.isProven;
    if (unproven) {
        m_ledger.set(AttemptState::Lost);
        closeAttempt(AttemptVerdict::Failed);
        if (!m_route->isRepeatable() || !tryAgain(true))
            m_begun ? abortAnswer(Reason::AnswerMismatch) : fail(Reason::AnswerMismatch);
        return;
    }
    m_ledger.set(AttemptState::Finished);
    noteFirstEvent();
    const bool failed = m_status >= kFirstFailureStatus;
    closeAttempt(failed ? AttemptVerdict::Failed : AttemptVerdict::Good);
    if (m_begun) {
        // The stream could not be continued at this upstream.
        if (!tryAgain(true))
            abortAnswer(Reason::UpstreamFailed);
        return;
    }
    if (failed && m_route->isRepeatable() && tryAgain(true))
        return;
    relayWhole();
}

void Exchange::onBrokenAnswer(const UpstreamEnd &end)
{
    const bool reached = end.result != UpstreamResult::ConnectFailed;
    m_ledger.set(reached ? AttemptState::Lost : AttemptState::NotSent);
    closeAttempt(reached ? AttemptVerdict::Failed : AttemptVerdict::Unreachable);
    const bool mayRepeat =
            m_relay != Relay::Pieces && (m_ledger.isCertainlyNotRun() || m_route->isRepeatable());
    if (mayRepeat && tryAgain(reached))
        return;
    if (m_begun)
        abortAnswer(failureReason(end));
    else
        fail(failureReason(end));
}

Reason Exchange::failureReason(const UpstreamEnd &end) const
{
    if (end.result == UpstreamResult::ConnectFailed)
        return m_ledger.isCertainlyNotRun() ? Reason::NoUpstream : Reason::UpstreamUnreachable;
    return Reason::UpstreamFailed;
}

bool Exchange::tryAgain(bool arrived)
{
    if (arrived)
        ++m_sent;
    else
        ++m_unreached;
    if (m_callerGone || timeLeft() < kLeastRepeatTime)
        return false;
    if (m_sent >= m_route->maxAttempts || m_unreached > kMaxUnreached)
        return false;
    const TimePoint now = m_gateway.parts().loop.now();
    const auto &lane = m_gateway.lane(m_lane->name);
    const auto placement = m_lane->balancer.place(m_demand, m_tried, now);
    if (!placement)
        return false;
    // The first arrival at an upstream is no repeat.
    if (m_sent > 0 && !m_lane->repeats.tryTake(now))
        return false;
    m_gateway.parts().metrics.count(metric::kRetries,
                                    {{"profile", m_route->name}, {"reason", lane.name}});
    send(*placement);
    return true;
}

void Exchange::closeAttempt(AttemptVerdict verdict)
{
    m_lane->balancer.onEnded(m_placement, verdict, m_gateway.parts().loop.now());
    m_gateway.noteLoadChanged();
}

void Exchange::beginRelay(std::optional<std::size_t> length)
{
    m_begun = true;
    HttpHeaders headers;
    for (const auto &it : m_headers) {
        if (!isConnectionHeader(it.first))
            headers.push_back(it);
    }
    m_writer->begin(m_status, headers, length);
}

void Exchange::relayWhole()
{
    beginRelay(m_body.size());
    m_writer->write(m_body);
    m_writer->end();
    finish(m_status, Reason::None);
}

void Exchange::fail(Reason reason)
{
    int status = reasonInfo(reason).httpStatus;
    const Execution execution = m_ledger.execution();
    // These statuses promise that the request did not run.
    const bool promises = status == 503 || status == 429 || status == 408 || status == 421;
    if (promises && execution != Execution::NotRun)
        status = kBadGateway;
    const std::string body =
            fmt::format(R"({{"error":"{}","execution":"{}"}})", nameOf(reason), nameOf(execution));
    HttpHeaders headers = {{"Content-Type", "application/json"}};
    if (status == 503 || status == 429) {
        if (const auto advice = returnAdvice(reason))
            headers.emplace_back("Retry-After", fmt::format("{:.3f}", toSeconds(*advice)));
    }
    m_writer->begin(status, headers, body.size());
    m_writer->write(body);
    m_writer->end();
    finish(status, reason);
}

std::optional<Duration> Exchange::returnAdvice(Reason reason)
{
    const Duration left = m_route == nullptr ? seconds(1) : timeLeft();
    const bool isRush = reason == Reason::DeadlineUnreachable || reason == Reason::QueueFull;
    if (!isRush) {
        // The cause lies with this node: the next try reaches another one.
        std::uniform_int_distribution<std::int64_t> soon(kSoonest.count(), kSoon.count());
        return std::min<Duration>(Duration(soon(m_gateway.random())), left / kSoonPart);
    }
    // Callers wait for up to a third of the time that they have; a later time is not kept. A rush
    // lasts for seconds, so that those that it turned away return as far apart as they may.
    constexpr int kFirstPart = 8;
    constexpr double kLastPart = 3.3;
    const auto last = static_cast<std::int64_t>(static_cast<double>(left.count()) / kLastPart);
    std::uniform_int_distribution<std::int64_t> spread(left.count() / kFirstPart, last);
    return Duration(spread(m_gateway.random()));
}

void Exchange::abortAnswer(Reason reason)
{
    m_writer->abort();
    finish(m_status, reason);
}

void Exchange::onTimeout()
{
    m_timer = 0;
    if (m_done)
        return;
    if (m_call) {
        const auto call = std::exchange(m_call, nullptr);
        closeAttempt(AttemptVerdict::Neutral);
        call->cancel();
        if (m_ledger.current() == AttemptState::Sent)
            m_ledger.set(AttemptState::Lost);
    }
    if (m_begun)
        abortAnswer(Reason::DeadlineExceeded);
    else
        fail(Reason::DeadlineExceeded);
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
    // An order that an upstream has may be half done; ending it now would leave it unknown.
    if (m_route->kind == RouteKind::NonIdempotent)
        return;
    const auto call = std::exchange(m_call, nullptr);
    closeAttempt(AttemptVerdict::Neutral);
    call->cancel();
    finish(reasonInfo(Reason::CallerGone).httpStatus, Reason::CallerGone);
}

void Exchange::onDrained()
{
    if (m_call)
        m_call->resume();
}

Duration Exchange::timeLeft() const
{
    return std::max(Duration(0), m_endBy - m_gateway.parts().loop.now());
}

void Exchange::finish(int status, Reason reason)
{
    if (m_done)
        return;
    m_done = true;
    if (m_ticket != 0)
        m_lane->held.remove(std::exchange(m_ticket, 0));
    auto &parts = m_gateway.parts();
    parts.loop.cancel(std::exchange(m_timer, 0));
    const TimePoint now = parts.loop.now();
    const std::string_view route = m_route == nullptr ? "none" : std::string_view(m_route->name);
    parts.metrics.count(metric::kRequests, {{"result", nameOf(reason)}});
    parts.metrics.observe(metric::kTotalTime, {}, toSeconds(now - m_arrived));
    if (reason != Reason::None)
        parts.metrics.count(metric::kRefusals, {{"reason", nameOf(reason)},
                                                {"execution", nameOf(m_ledger.execution())}});
    const LogLevel level = reason == Reason::None ? LogLevel::Info : LogLevel::Warning;
    if (!m_gateway.mayLogRequest(level))
        return;
    const auto age = m_gateway.state().config().age(now);
    const auto millis = [this](TimePoint at) {
        return at == TimePoint{} ? -1 : toMillis(at - m_arrived);
    };
    logEvent(level, "request_done",
             {{"request", m_meta.requestId},
              {"route", route},
              {"service", m_lane == nullptr ? "" : m_lane->name},
              {"workspace", m_workspace == nullptr ? "" : m_workspace->name},
              {"status", status},
              {"reason", nameOf(reason)},
              {"execution", nameOf(m_ledger.execution())},
              {"attempts", m_attempt},
              {"upstream", m_upstream.id.value},
              {"upstream_state", nameOf(kAttemptStateNames, m_ledger.current())},
              {"sent_ms", millis(m_sentAt)},
              {"first_ms", millis(m_firstByteAt)},
              {"total_ms", toMillis(now - m_arrived)},
              {"events", m_events},
              {"longest_pause_ms", toMillis(m_longestPause)},
              {"wait_estimate_ms", toMillis(m_placement.wait)},
              {"outside_range", m_placement.isOutside},
              {"home_rank", m_placement.homeRank},
              {"prompt_tokens", m_meta.promptTokens},
              {"config_version", m_table ? m_table->config().version : 0},
              {"config_age_ms", age ? toMillis(*age) : -1}});
}

} // namespace hawthornslip
