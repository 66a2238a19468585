#include "tests/soak/judge.h"

#include <fmt/format.h>

#include <algorithm>

namespace hawthornslip::soak {

namespace {

// The first second of a window may lie in the one before it, for which its requests count.
constexpr int kWindows = 2;
// A process may answer a little longer after the signal that kills it was sent.
constexpr Duration kKillTime = milliseconds(100);
constexpr std::size_t kShortestStream = 4;
constexpr std::size_t kLongestStream = 24;

std::string eventText(const std::string &id, std::size_t n)
{
    return fmt::format("id: {}\ndata: {} {}\n\n", n, id, n);
}

} // namespace

Kind kindOf(const std::string &path)
{
    if (path.starts_with("/read/"))
        return Kind::Read;
    if (path.starts_with("/chat/"))
        return Kind::Chat;
    return path.starts_with("/draft/") ? Kind::Draft : Kind::Order;
}

std::size_t streamLength(const std::string &id)
{
    return kShortestStream + std::hash<std::string>{}(id) % (kLongestStream - kShortestStream);
}

void Judge::onFault(std::size_t gateway, TimePoint until, bool planned)
{
    auto &troubled = planned ? m_stoppedUntil : m_troubledUntil;
    troubled[gateway] = std::max(troubled[gateway], until);
}

bool Judge::isUndisturbed(std::size_t gateway, TimePoint at) const
{
    const auto it = m_troubledUntil.find(gateway);
    const bool calm = it == m_troubledUntil.end() || at >= it->second + m_bounds.calmAfter;
    return calm && at >= m_allTroubledUntil + m_bounds.calmAfter;
}

bool Judge::isCalm(std::size_t gateway, TimePoint at) const
{
    const auto it = m_stoppedUntil.find(gateway);
    const bool runs = it == m_stoppedUntil.end() || at >= it->second + m_bounds.calmAfter;
    return runs && isUndisturbed(gateway, at);
}

bool Judge::wasKilled(std::size_t gateway, TimePoint from, TimePoint to) const
{
    const auto it = m_kills.find(gateway);
    return it != m_kills.end() && std::ranges::any_of(it->second, [=](TimePoint at) {
               return from <= at + kKillTime && at <= to;
           });
}

void Judge::checkWireEnd(const CallerOutcome &outcome)
{
    if (outcome.wireEnd == WireEnd::Unknown)
        return;
    ++m_wireEnds[outcome.wireEnd];
    const bool isSilent = outcome.wireEnd == WireEnd::Closed || outcome.wireEnd == WireEnd::Open;
    if (isSilent && !wasKilled(outcome.gateway, outcome.sentAt, outcome.endedAt))
        report(fmt::format("request {} at gateway {} was written whole and got neither an answer "
                           "nor a reset: {} after {} ms, {} arrivals",
                           outcome.id, outcome.gateway, nameOf(kWireEndNames, outcome.wireEnd),
                           toMillis(outcome.endedAt - outcome.sentAt),
                           m_sent[outcome.id].arrivals));
}

void Judge::onDropTold(std::size_t gateway, const std::string &told)
{
    report(fmt::format("gateway {} tells that it read requests and dropped them: {}", gateway,
                       told));
}

void Judge::checkPlannedStop(const CallerOutcome &outcome)
{
    const bool isBroken = outcome.status == 0 || !outcome.isWhole;
    // A request that crossed the close of its connection reached no upstream and has no status.
    const bool mayHaveCrossed = outcome.status == 0 && m_sent[outcome.id].arrivals == 0;
    if (isBroken && !mayHaveCrossed && isUndisturbed(outcome.gateway, outcome.sentAt) &&
        isUndisturbed(outcome.gateway, outcome.endedAt))
        report(fmt::format("request {} at gateway {} was cut off after {} ms without a fault",
                           outcome.id, outcome.gateway,
                           toMillis(outcome.endedAt - outcome.sentAt)));
}

void Judge::onSent(const std::string &id, const std::string &key, TimePoint at)
{
    m_sent[id] = Sent{key, at, 0, 0};
    m_requests.push_back(at);
}

void Judge::onArrival(const std::string &id, const std::string &upstream, std::size_t gateway,
                      TimePoint at)
{
    const auto it = m_sent.find(id);
    if (it == m_sent.end()) {
        report(fmt::format("request {} reached {} but no caller sent it", id, upstream));
        return;
    }
    if (++it->second.arrivals > 1) {
        m_repeats.push_back(at);
        checkBudget(at);
    }
    const auto drain = m_draining.find(upstream);
    if (drain != m_draining.end() && at > drain->second + m_bounds.drainWithin &&
        isCalm(gateway, at))
        report(fmt::format("request {} reached {} {} ms after it drained", id, upstream,
                           toMillis(at - drain->second)));
    checkLeaving(it->second, id, upstream, gateway);
}

void Judge::checkLeaving(const Sent &sent, const std::string &id, const std::string &upstream,
                         std::size_t gateway)
{
    const auto seen = m_leavingSeen.find({gateway, upstream});
    if (seen == m_leavingSeen.end() || sent.at <= seen->second + m_bounds.drainWithin)
        return;
    // A cut from the store or from upstreams is no excuse.
    const auto interrupted = m_interruptedUntil.find(gateway);
    if (interrupted != m_interruptedUntil.end() && interrupted->second >= seen->second)
        return;
    report(fmt::format("request {} reached {}, sent {} ms after gateway {} had heard it leaves", id,
                       upstream, toMillis(sent.at - seen->second), gateway));
}

void Judge::onRun(const std::string &id, Kind kind, const std::string &service, TimePoint at)
{
    auto &sent = m_sent[id];
    ++sent.runs;
    if (kind == Kind::Order && sent.runs > 1)
        report(fmt::format("order {} ran {} times", id, sent.runs));
    const auto revoked = m_revoked.find(sent.key);
    if (revoked != m_revoked.end() && sent.at > revoked->second + m_bounds.revokeWithin)
        report(fmt::format("request {} ran {} ms after its key was revoked", id,
                           toMillis(sent.at - revoked->second)));
    const bool late = m_movedAt != TimePoint::max() && sent.at > m_movedAt + m_bounds.applyWithin;
    if (kind == Kind::Order && late && service != m_movedTo && isCalm(0, at))
        report(fmt::format("order {} ran at {} {} ms after the move", id, service,
                           toMillis(sent.at - m_movedAt)));
}

void Judge::onOutcome(const CallerOutcome &outcome)
{
    ++m_statuses[outcome.status];
    const bool promises = outcome.status == 503 || outcome.status == 429 || outcome.status == 408 ||
                          outcome.status == 421;
    if (promises && (outcome.kind == Kind::Order || outcome.kind == Kind::Chat))
        m_refused.push_back(outcome);
    if (outcome.status == 200)
        checkAnswer(outcome);
    checkPlannedStop(outcome);
    checkWireEnd(outcome);
}

void Judge::checkAnswer(const CallerOutcome &outcome)
{
    if (outcome.kind == Kind::Chat || outcome.kind == Kind::Draft) {
        checkStream(outcome);
        return;
    }
    if (outcome.isWhole && outcome.body != "done " + outcome.id)
        report(fmt::format("request {} got the answer \"{}\"", outcome.id, outcome.body));
}

void Judge::checkStream(const CallerOutcome &outcome)
{
    std::string_view rest = outcome.body;
    std::size_t n = 0;
    while (!rest.empty()) {
        const std::string expected = eventText(outcome.id, n + 1);
        if (!rest.starts_with(expected)) {
            report(fmt::format("stream {} goes on after event {} with \"{}\"", outcome.id, n,
                               rest.substr(0, 60)));
            return;
        }
        rest.remove_prefix(expected.size());
        ++n;
    }
    if (outcome.isWhole && n != streamLength(outcome.id))
        report(fmt::format("stream {} ended as whole with {} of {} events", outcome.id, n,
                           streamLength(outcome.id)));
}

void Judge::checkBudget(TimePoint now)
{
    while (!m_repeats.empty() && m_repeats.front() <= now - m_bounds.repeatWindow)
        m_repeats.pop_front();
    while (!m_requests.empty() && m_requests.front() <= now - kWindows * m_bounds.repeatWindow)
        m_requests.pop_front();
    const double allowed = m_bounds.repeatRatio * static_cast<double>(m_requests.size());
    if (static_cast<double>(m_repeats.size()) > allowed)
        report(fmt::format("{} repeats in a window with {} requests", m_repeats.size(),
                           m_requests.size()));
}

void Judge::finish()
{
    // A run in which nothing works keeps the other promises.
    if (!m_statuses.contains(200))
        report("no request was answered with 200");
    for (const auto &it : m_refused) {
        if (m_sent[it.id].runs > 0)
            report(fmt::format("request {} was refused with {} and ran", it.id, it.status));
    }
}

void Judge::report(const std::string &text)
{
    m_violations.push_back(text);
}

} // namespace hawthornslip::soak
