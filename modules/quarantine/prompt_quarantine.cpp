#include "modules/quarantine/prompt_quarantine.h"

#include <algorithm>
#include <random>
#include <set>

namespace hawthornslip {

namespace {

// Time in which operators notice and replace an upstream that cannot take the segment.
constexpr Duration kFirstQuarantine = seconds(60);
constexpr Duration kLongestQuarantine = seconds(15 * 60);
// A trial shows its outcome within a second, and the other nodes hear of it within another.
constexpr Duration kTrialSpacing = seconds(2);
// A trial that neither crashed nor was answered by then tells nothing, and another one follows.
constexpr Duration kTrialTimeout = seconds(15);
// Segments in wide use are answered far more often than this at each node.
constexpr Duration kSoundWindow = seconds(10);
constexpr std::size_t kMaxSoundSegments = 4096;
constexpr Duration kMinRepeatInterval = seconds(1);
// Each node gets at most about four repetitions per second from all its peers.
constexpr Duration kRepeatIntervalPerReceiver = milliseconds(250);
constexpr Duration kSummaryRepeatInterval = seconds(2);
constexpr std::size_t kMaxRepeated = 12;

} // namespace

PromptQuarantine::PromptQuarantine(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    m_turn = std::uniform_real_distribution<double>(0, 1)(random);
}

void PromptQuarantine::onCrash(const CrashObservation &observation, TimePoint now)
{
    if (m_log.add(observation, NewsOrigin::Self))
        update(now);
}

void PromptQuarantine::onAnswerGoesOn(const PromptTraits &traits, TimePoint begunAt, TimePoint now)
{
    m_sound.note(traits.segments, now);
    bool changed = false;
    for (const std::uint64_t it : traits.segments) {
        if (m_log.isSuspect(it))
            changed = m_log.add(SegmentClearance{it, begunAt}, NewsOrigin::Self) || changed;
    }
    if (changed)
        update(now);
}

void PromptQuarantine::merge(const CrashEvidence &evidence, NewsOrigin origin, TimePoint now)
{
    bool changed = false;
    for (const auto &it : evidence.clearances)
        changed = m_log.add(it, origin) || changed;
    for (const auto &it : evidence.observations)
        changed = m_log.add(it, origin) || changed;
    if (changed)
        update(now);
}

std::optional<QuarantineHold> PromptQuarantine::check(const PromptTraits &traits,
                                                      TimePoint now) const
{
    for (const auto &verdict : m_verdicts) {
        if (!verdict.covers(traits))
            continue;
        TimePoint until = verdict.lastCrashAt + spanOf(verdict);
        const auto tried = m_triedAt.find(verdict.segments);
        if (tried != m_triedAt.end())
            until = std::max(until, tried->second + kTrialTimeout);
        if (now < until)
            return QuarantineHold{verdict, until - now};
    }
    return std::nullopt;
}

void PromptQuarantine::onSent(const PromptTraits &traits, TimePoint now)
{
    for (const auto &verdict : m_verdicts) {
        if (verdict.covers(traits))
            m_triedAt[verdict.segments] = now;
    }
}

CrashEvidence PromptQuarantine::reportTo(const ReportReceivers &receivers, TimePoint now)
{
    m_nodes = receivers.nodes;
    CrashEvidence evidence;
    m_log.collectForReport(evidence);
    const Duration interval = std::max<Duration>(
            kMinRepeatInterval,
            kRepeatIntervalPerReceiver * static_cast<std::int64_t>(receivers.recipients));
    if (now - m_reportRepeatedAt >= interval) {
        m_reportRepeatedAt = now;
        repeatSupport(evidence);
    }
    return evidence;
}

CrashEvidence PromptQuarantine::summary(TimePoint now)
{
    CrashEvidence evidence;
    m_log.collectForSummary(evidence);
    if (now - m_summaryRepeatedAt >= kSummaryRepeatInterval) {
        m_summaryRepeatedAt = now;
        repeatSupport(evidence);
    }
    return evidence;
}

void PromptQuarantine::repeatSupport(CrashEvidence &evidence) const
{
    std::vector<std::uint64_t> ids;
    for (const auto &it : m_verdicts) {
        // The last ones, as a verdict needs a few and its end depends on the last one.
        const auto n = std::min(it.support.size(), kMaxRepeated);
        ids.insert(ids.end(), it.support.end() - static_cast<std::ptrdiff_t>(n), it.support.end());
    }
    if (ids.size() > kMaxRepeated)
        ids.resize(kMaxRepeated);
    m_log.collect(ids, evidence);
}

void PromptQuarantine::update(TimePoint now)
{
    m_log.expire(now);
    m_verdicts = findVerdicts(m_log.observed(), [this](std::uint64_t segment, TimePoint at) {
        return m_sound.contains(segment, at);
    });
    std::erase_if(m_triedAt, [this](const auto &tried) {
        return std::none_of(m_verdicts.begin(), m_verdicts.end(), [&tried](const auto &it) {
            return it.segments == tried.first && it.lastCrashAt < tried.second;
        });
    });
    ++m_revision;
}

Duration PromptQuarantine::spanOf(const Verdict &verdict) const
{
    Duration span = kFirstQuarantine;
    for (std::size_t i = 2; i < verdict.rounds && span < kLongestQuarantine; ++i)
        span *= 2;
    const Duration turns = kTrialSpacing * static_cast<std::int64_t>(m_nodes);
    return std::min(span, kLongestQuarantine) +
           std::chrono::duration_cast<Duration>(m_turn * turns);
}

void PromptQuarantine::SoundSegments::note(const std::vector<std::uint64_t> &segments,
                                           TimePoint now)
{
    for (const std::uint64_t it : segments)
        m_answeredAt[it] = now;
    if (m_answeredAt.size() > kMaxSoundSegments)
        std::erase_if(m_answeredAt,
                      [now](const auto &it) { return now - it.second > kSoundWindow; });
    // Of more than that many in the window, a random part is enough.
    while (m_answeredAt.size() > kMaxSoundSegments)
        m_answeredAt.erase(m_answeredAt.begin());
}

bool PromptQuarantine::SoundSegments::contains(std::uint64_t segment, TimePoint at) const
{
    const auto it = m_answeredAt.find(segment);
    return it != m_answeredAt.end() && at - it->second <= kSoundWindow;
}

} // namespace hawthornslip
