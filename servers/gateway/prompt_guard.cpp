#include "servers/gateway/prompt_guard.h"

#include "core/logger.h"
#include "modules/ownership/rendezvous_hash.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

// A process that ends loses its attempts within this time.
constexpr Duration kSameEnd = seconds(1);

} // namespace

std::string hexList(const std::vector<std::uint64_t> &hashes)
{
    return fmt::format("{:016x}", fmt::join(hashes, ","));
}

PromptGuard::PromptGuard(EventLoop &loop, ConnectionProbe &probe, std::uint64_t seed)
    : m_loop(loop)
    , m_probe(probe)
    , m_quarantine(seed)
{}

std::optional<QuarantineHold> PromptGuard::check(const PromptTraits &traits) const
{
    return m_quarantine.check(traits, m_loop.now());
}

void PromptGuard::onSent(const PromptTraits &traits)
{
    m_quarantine.onSent(traits, m_loop.now());
}

void PromptGuard::onAnswerGoesOn(const PromptTraits &traits, TimePoint begunAt)
{
    m_quarantine.onAnswerGoesOn(traits, begunAt, m_loop.now());
    afterChange();
}

void PromptGuard::onAttemptLost(const LostAttempt &attempt)
{
    if (attempt.traits.segments.empty())
        return;
    CrashObservation seen;
    seen.id = rendezvousMemberHash(attempt.requestId + '@' + attempt.upstream.id.value);
    seen.upstream = rendezvousMemberHash(attempt.upstream.id.value);
    seen.traits = attempt.traits;
    seen.sentAt = attempt.sentAt;
    seen.crashedAt = m_loop.now();
    seen.hadBegun = attempt.hadBegun;
    const Process process = processOf(attempt.upstream);
    const auto [it, isNew] = m_pending.try_emplace(
            process, Lost{attempt.upstream, EndEvidence(listingOf(attempt.upstream)), {}});
    Lost &lost = it->second;
    if (lost.evidence.hasAnswered())
        settleBefore(m_loop.now(), lost.attempts);
    lost.attempts.push_back(
            {std::move(seen), attempt.requestId, attempt.mayBeWhole, attempt.begunAt});
    const bool willAsk = lost.evidence.willAsk();
    lost.evidence.onLost(attempt.hadBegun, m_loop.now());
    // Without a timer its address is being asked.
    const bool isWaiting = lost.timer != 0;
    if (!isNew && (willAsk || !isWaiting))
        return;
    m_loop.cancel(std::exchange(lost.timer, 0));
    waitForLook(process);
}

void PromptGuard::onBytes(const UpstreamEntry &upstream, TimePoint sentAt)
{
    if (m_pending.empty())
        return;
    const Process process = processOf(upstream);
    const auto it = m_pending.find(process);
    if (it == m_pending.end())
        return;
    it->second.evidence.onBytes(sentAt, m_loop.now());
    conclude(process);
}

PromptGuard::Process PromptGuard::processOf(const UpstreamEntry &upstream)
{
    return {upstream.id, upstream.bornMs};
}

ProcessListing PromptGuard::listingOf(const UpstreamEntry &upstream) const
{
    return m_listing ? m_listing(upstream) : ProcessListing::Listed;
}

void PromptGuard::waitForLook(const Process &process)
{
    Lost &lost = m_pending.at(process);
    const auto next = lost.evidence.nextLook();
    if (!next) {
        conclude(process);
        return;
    }
    lost.timer =
            m_loop.after(next->wait, [this, process, asks = next->asks] { look(process, asks); });
}

void PromptGuard::look(const Process &process, bool asks)
{
    const auto it = m_pending.find(process);
    if (it == m_pending.end())
        return;
    it->second.timer = 0;
    it->second.evidence.onListing(listingOf(it->second.upstream));
    if (!asks || it->second.evidence.conclusion() != EndEvidence::Conclusion::Unknown) {
        onLooked(process);
        return;
    }
    m_probe.probe(it->second.upstream.address, [this, process](ProbeResult result) {
        const auto asked = m_pending.find(process);
        if (asked == m_pending.end())
            return;
        asked->second.evidence.onProbed(result);
        onLooked(process);
    });
}

void PromptGuard::onLooked(const Process &process)
{
    if (m_pending.at(process).evidence.conclusion() == EndEvidence::Conclusion::Unknown)
        waitForLook(process);
    else
        conclude(process);
}

void PromptGuard::conclude(const Process &process)
{
    const auto it = m_pending.find(process);
    const auto conclusion = it->second.evidence.conclusion();
    if (conclusion == EndEvidence::Conclusion::Unknown)
        return;
    Lost lost = std::move(it->second);
    m_pending.erase(it);
    m_loop.cancel(lost.timer);
    if (conclusion == EndEvidence::Conclusion::Ended) {
        const TimePoint end = lost.attempts.front().observation.crashedAt + kSameEnd;
        // Later ones were lost by whoever had the port then.
        std::erase_if(lost.attempts, [end](const Pending &lostOne) {
            return lostOne.observation.crashedAt > end;
        });
        record(lost);
    } else {
        settleBefore(TimePoint::max(), lost.attempts);
    }
}

void PromptGuard::settleBefore(TimePoint at, std::vector<Pending> &attempts)
{
    std::erase_if(attempts, [this, at](const Pending &it) {
        if (it.observation.crashedAt >= at - kSameEnd)
            return false;
        if (it.mayBeWhole)
            onAnswerGoesOn(it.observation.traits, it.begunAt);
        return true;
    });
}

void PromptGuard::record(const Lost &lost)
{
    for (const auto &it : lost.attempts) {
        logEvent(LogLevel::Warning, "crash_observed",
                 {{"request", it.requestId},
                  {"upstream", lost.upstream.id.value},
                  {"segments", hexList(it.observation.traits.segments)},
                  {"begun", it.observation.hadBegun}});
        m_quarantine.onCrash(it.observation, m_loop.now());
        notifyUpstreamEnded(it.observation);
    }
    afterChange();
}

CrashEvidence PromptGuard::evidenceForReport(const ReportReceivers &receivers)
{
    return m_quarantine.reportTo(receivers, m_loop.now());
}

CrashEvidence PromptGuard::evidenceForSummary()
{
    return m_quarantine.summary(m_loop.now());
}

void PromptGuard::onPeerEvidence(const CrashEvidence &evidence, NewsOrigin origin)
{
    m_quarantine.merge(evidence, origin, m_loop.now());
    for (const auto &it : evidence.observations)
        notifyUpstreamEnded(it);
    afterChange();
}

void PromptGuard::notifyUpstreamEnded(const CrashObservation &observation) const
{
    if (m_upstreamEnded)
        m_upstreamEnded(observation.upstream, observation.crashedAt);
}

void PromptGuard::afterChange()
{
    if (std::exchange(m_loggedRevision, m_quarantine.revision()) == m_quarantine.revision())
        return;
    if (m_news && m_quarantine.hasNews())
        m_news();
    std::vector<std::vector<std::uint64_t>> current;
    for (const auto &it : m_quarantine.verdicts()) {
        current.push_back(it.segments);
        if (std::find(m_logged.begin(), m_logged.end(), it.segments) == m_logged.end())
            logEvent(LogLevel::Warning, "prompt_quarantined",
                     {{"segments", hexList(it.segments)},
                      {"one_workspace", it.workspace.has_value()},
                      {"crashes", it.crashes},
                      {"rounds", it.rounds}});
    }
    for (const auto &it : m_logged) {
        if (std::find(current.begin(), current.end(), it) == current.end())
            logEvent(LogLevel::Info, "prompt_released", {{"segments", hexList(it)}});
    }
    m_logged = std::move(current);
}

} // namespace hawthornslip
