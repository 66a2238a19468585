#include "servers/state/state_relay.h"

#include "core/logger.h"
#include "core/metric_names.h"
#include "servers/state/state_codec.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace hawthornslip {

namespace {

constexpr std::string_view kPathPrefix = "/state/";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// Calls of one kind that are held at a time; a failure domain has fewer nodes.
constexpr std::size_t kMaxHeldCalls = 1024;
constexpr Duration kMaxWait = seconds(10);
// Longest age that a reply can carry.
constexpr Duration kMaxAge = seconds(3600);
// Followers ask again within a second or two.
constexpr Duration kFollowerTimeout = seconds(5);

std::optional<std::uint64_t> queryNumber(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto item = query.substr(0, end);
        query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
        const auto equals = item.find('=');
        if (equals == std::string_view::npos || item.substr(0, equals) != name)
            continue;
        const auto text = item.substr(equals + 1);
        std::uint64_t n = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), n);
        if (parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size())
            return n;
    }
    return std::nullopt;
}

} // namespace

/** Drops a held call when its caller's connection closes. */
class StateRelay::HeldCallEvents : public CallerEvents
{
public:
    HeldCallEvents(StateRelay &relay, KindState &state, std::shared_ptr<HeldCall> call)
        : m_relay(relay)
        , m_state(state)
        , m_call(std::move(call))
    {}

    void onCallerGone() override { m_relay.drop(m_state, m_call); }
    void onSendBufferEmpty() override {}
    void onMemoryFull() override
    {
        m_relay.drop(m_state, m_call);
        m_relay.refuse(*m_call, kUnavailable);
    }

private:
    StateRelay &m_relay;
    KindState &m_state;
    std::shared_ptr<HeldCall> m_call;
};

StateRelay::StateRelay(EventLoop &loop, Metrics &metrics)
    : m_loop(loop)
    , m_metrics(metrics)
{}

StateRelay::~StateRelay() = default;

void StateRelay::setServing(StateKind kind, std::function<bool()> isServing)
{
    state(kind).isServing = std::move(isServing);
}

void StateRelay::commit(StateKind kind, StatePosition position, TimePoint confirmedAt)
{
    KindState &changed = state(kind);
    changed.log.commit(position, confirmedAt);
    answerHeld(changed);
}

bool StateRelay::hasFollowers() const
{
    return m_servedAt != TimePoint{} && m_loop.now() - m_servedAt < kFollowerTimeout;
}

void StateRelay::refuseHeld()
{
    for (auto &it : m_states) {
        for (const auto &call : std::exchange(it.held, {}))
            refuse(*call, kUnavailable);
    }
}

void StateRelay::beginStop()
{
    m_stopping = true;
    refuseHeld();
}

std::shared_ptr<CallerEvents> StateRelay::onRequest(HttpRequest request,
                                                    std::shared_ptr<ResponseWriter> writer)
{
    auto call = std::make_shared<HeldCall>();
    call->writer = std::move(writer);
    call->arrivedAt = m_loop.now();
    std::string_view name = request.path;
    const bool isStatePath = name.starts_with(kPathPrefix);
    name.remove_prefix(isStatePath ? kPathPrefix.size() : 0);
    const auto kind = valueOf(kStateKindNames, name);
    if (request.method != "GET" || !isStatePath || !kind) {
        refuse(*call, kNotFound);
        return nullptr;
    }
    KindState &asked = state(*kind);
    if (!isServing(asked) || asked.held.size() >= kMaxHeldCalls) {
        refuse(*call, kUnavailable);
        return nullptr;
    }
    m_servedAt = call->arrivedAt;
    if (const auto after = queryNumber(request.query, "after")) {
        const auto era = queryNumber(request.query, "era");
        call->after = StatePosition{era.value_or(asked.log.era()), *after};
    }
    const auto waitMs = queryNumber(request.query, "wait_ms").value_or(0);
    const Duration wait = std::min<Duration>(
            milliseconds(std::min<std::uint64_t>(waitMs, toMillis(kMaxWait))), kMaxWait);
    if (asked.log.isListed()) {
        const auto changes = asked.log.since(call->after);
        if (changes.isComplete || !changes.objects.empty() || wait <= Duration(0)) {
            reply(asked, *call);
            return nullptr;
        }
    }
    call->timer = m_loop.after(wait, [this, &asked, call] {
        call->timer = 0;
        std::erase(asked.held, call);
        if (isServing(asked) && asked.log.isListed())
            reply(asked, *call);
        else
            refuse(*call, kUnavailable);
    });
    asked.held.push_back(call);
    return std::make_shared<HeldCallEvents>(*this, asked, call);
}

void StateRelay::onBadInput(int status, std::string_view cause)
{
    logEvent(LogLevel::Info, "bad_state_call", {{"status", status}, {"cause", cause}});
}

bool StateRelay::isServing(KindState &state) const
{
    return !m_stopping && state.isServing && state.isServing();
}

void StateRelay::reply(const KindState &state, const HeldCall &call)
{
    const TimePoint now = m_loop.now();
    StateReply answer;
    answer.changes = state.log.since(call.after);
    // The caller asks for the complete list in its turn; to all at once it would fill this link.
    if (call.after && answer.changes.isComplete)
        answer.changes.objects.clear();
    answer.age = std::clamp<Duration>(now - state.log.confirmedAt(), Duration(0), kMaxAge);
    answer.isStoreBehind = state.isStoreBehind;
    answer.held = now - call.arrivedAt;
    const std::string body = encodeState(answer);
    call.writer->begin(kOk, {{"Content-Type", "application/x-protobuf"}}, body.size());
    call.writer->write(body);
    call.writer->end();
    m_metrics.count(metric::kPeerMessages, {{"direction", "sent"}, {"kind", "state"}});
    m_metrics.count(metric::kPeerBytes, {{"direction", "sent"}, {"kind", "state"}},
                    static_cast<double>(body.size()));
}

void StateRelay::refuse(const HeldCall &call, int status)
{
    m_loop.cancel(call.timer);
    call.writer->begin(status, {}, 0);
    call.writer->end();
}

void StateRelay::answerHeld(KindState &state)
{
    const bool mayAnswer = isServing(state) && state.log.isListed();
    for (const auto &it : std::exchange(state.held, {})) {
        m_loop.cancel(std::exchange(it->timer, 0));
        if (mayAnswer)
            reply(state, *it);
        else
            refuse(*it, kUnavailable);
    }
}

void StateRelay::drop(KindState &state, const std::shared_ptr<HeldCall> &call)
{
    m_loop.cancel(std::exchange(call->timer, 0));
    std::erase(state.held, call);
}

} // namespace hawthornslip
