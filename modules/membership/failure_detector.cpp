#include "modules/membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

using namespace membership; // NOLINT(google-build-using-namespace)

// Late answers still count, so that a node that paused is heard at once when it resumes.
constexpr auto kProbeLifetime = seconds(10);
// A node that has been known this long and loses its observers was watched until now, so that half
// of its silence is taken as over. Halves the time to find the dead of a whole failure domain.
constexpr auto kSettledAfter = seconds(5);
constexpr int kProbesBeforeSuspicion = 2;

} // namespace

FailureDetector::FailureDetector(const MembershipTable &table, DetectorSettings settings,
                                 std::mt19937_64 &random)
    : m_table(table)
    , m_settings(settings)
    , m_random(random)
{}

void FailureDetector::updateTargets(TimePoint now, DetectorFindings &findings)
{
    const auto wanted = m_table.successors(m_table.self().node, m_settings.observers);
    std::erase_if(m_targets, [&](const auto &it) {
        return std::find(wanted.begin(), wanted.end(), it.first) == wanted.end();
    });
    for (const auto &node : wanted) {
        if (m_targets.contains(node))
            continue;
        const Member *member = m_table.find(node);
        const bool settled = member->since + kSettledAfter < now;
        Target target;
        target.lastHeard = settled ? now - m_settings.silenceLimit / 2 : now;
        probeTarget(node, m_targets[node] = target, now, findings);
    }
}

void FailureDetector::tick(TimePoint now, DetectorFindings &findings)
{
    if (m_lastTick && now - *m_lastTick > m_settings.pauseLimit)
        resumeAfterPause(now);
    m_lastTick = now;
    std::erase_if(m_open, [&](const auto &it) { return it.second.sent + kProbeLifetime < now; });
    if (now >= m_nextRound) {
        // Rounds that were missed are not made up for.
        m_nextRound = std::max(m_nextRound + m_settings.probeInterval,
                               now + m_settings.probeInterval / 2);
        for (auto &[node, target] : m_targets)
            probeTarget(node, target, now, findings);
    }
    for (auto &[node, target] : m_targets) {
        const bool late = target.lastHeard < target.lastProbe &&
                          now - target.lastProbe >= m_settings.indirectAfter;
        if (late && !target.helpersAsked) {
            target.helpersAsked = true;
            askHelpers(node, now, findings);
        }
        judge(node, target, now, findings);
    }
    runChecks(now, findings);
}

void FailureDetector::resumeAfterPause(TimePoint now)
{
    for (auto &[node, target] : m_targets) {
        target.lastHeard = now;
        target.unanswered = 0;
    }
    for (auto &[node, check] : m_checks)
        check.started = now;
    m_votes.clear();
}

void FailureDetector::answered(const NodeId &node, TimePoint now)
{
    m_heard[node] = now;
    m_lastAnswer = now;
    m_checks.erase(node);
    const auto it = m_targets.find(node);
    if (it == m_targets.end())
        return;
    it->second.lastHeard = now;
    it->second.unanswered = 0;
    m_votes.erase(node);
}

void FailureDetector::suspected(const NodeId &from, const NodeId &about, TimePoint now,
                                DetectorFindings &findings)
{
    if (!m_table.isLive(about) || about == m_table.self().node)
        return;
    m_votes[about][from] = now;
    if (m_targets.contains(about))
        return;
    const auto [it, added] = m_checks.try_emplace(about);
    it->second.voters.insert(from);
    if (added) {
        it->second.started = now;
        probe(about, now, findings);
    }
}

void FailureDetector::probe(const NodeId &node, TimePoint now, DetectorFindings &findings,
                            const NodeId &origin, std::uint64_t originNonce)
{
    const std::uint64_t nonce = m_random();
    m_open[nonce] = {node, now, origin, originNonce};
    findings.actions.push_back(SendProbe{node, nonce, 0, origin, {}});
}

std::optional<OpenProbe> FailureDetector::takeProbe(std::uint64_t nonce)
{
    const auto it = m_open.find(nonce);
    if (it == m_open.end())
        return std::nullopt;
    OpenProbe probe = std::move(it->second);
    m_open.erase(it);
    return probe;
}

void FailureDetector::forgetUnknown()
{
    const auto unknown = [this](const auto &it) { return m_table.find(it.first) == nullptr; };
    std::erase_if(m_heard, unknown);
    std::erase_if(m_votes, unknown);
}

bool FailureDetector::connected(TimePoint now) const
{
    return m_lastAnswer && now - *m_lastAnswer < m_settings.responsiveWithin;
}

void FailureDetector::probeTarget(const NodeId &node, Target &target, TimePoint now,
                                  DetectorFindings &findings)
{
    target.lastProbe = now;
    target.helpersAsked = false;
    ++target.unanswered;
    probe(node, now, findings);
}

void FailureDetector::askHelpers(const NodeId &node, TimePoint now, DetectorFindings &findings)
{
    std::vector<NodeId> able;
    for (const auto &it : fellowObservers(node)) {
        if (responsive(it, now))
            able.push_back(it);
    }
    std::shuffle(able.begin(), able.end(), m_random);
    able.resize(std::min(able.size(), m_settings.helpers));
    for (const auto &it : able) {
        const std::uint64_t nonce = m_random();
        m_open[nonce] = {node, now, {}, 0};
        findings.actions.push_back(SendProbeRequest{it, nonce, node});
    }
}

void FailureDetector::judge(const NodeId &node, Target &target, TimePoint now,
                            DetectorFindings &findings)
{
    if (now - target.lastHeard < m_settings.silenceLimit ||
        target.unanswered < kProbesBeforeSuspicion)
        return;
    if (confirmed(node, now)) {
        // A node that hears nobody is itself cut off and tells others nothing about them.
        findings.deaths.push_back({node, connected(now)});
        return;
    }
    if (now - target.lastVote < m_settings.voteInterval)
        return;
    target.lastVote = now;
    for (const auto &it : fellowObservers(node))
        vote(node, it, findings);
    // The suspected node may answer this when only probes were lost.
    vote(node, node, findings);
}

void FailureDetector::vote(const NodeId &about, const NodeId &to, DetectorFindings &findings) const
{
    MemberUpdate update = m_table.find(about)->update;
    update.state = MemberState::Suspect;
    findings.actions.push_back(SendUpdates{to, {std::move(update)}, false});
}

void FailureDetector::runChecks(TimePoint now, DetectorFindings &findings)
{
    std::erase_if(m_checks, [&](const auto &it) { return !m_table.isLive(it.first); });
    for (auto &[node, check] : m_checks) {
        const Duration age = now - check.started;
        if (age >= m_settings.indirectAfter && !check.helpersAsked) {
            check.helpersAsked = true;
            probe(node, now, findings);
            askHelpers(node, now, findings);
        }
        if (age < m_settings.checkTime)
            continue;
        findings.deaths.push_back({node, false});
        // The observer that asked may know no other that watches the node.
        for (const auto &it : check.voters)
            vote(node, it, findings);
    }
}

bool FailureDetector::responsive(const NodeId &node, TimePoint now) const
{
    const auto it = m_heard.find(node);
    return it != m_heard.end() && now - it->second < m_settings.responsiveWithin;
}

bool FailureDetector::confirmed(const NodeId &node, TimePoint now) const
{
    const auto votes = m_votes.find(node);
    if (votes != m_votes.end()) {
        for (const auto &[voter, time] : votes->second) {
            if (now - time < m_settings.voteLifetime)
                return true;
        }
    }
    const auto fellows = fellowObservers(node);
    return std::none_of(fellows.begin(), fellows.end(),
                        [&](const NodeId &it) { return responsive(it, now); });
}

std::vector<NodeId> FailureDetector::fellowObservers(const NodeId &node) const
{
    auto observers = m_table.predecessors(node, m_settings.observers);
    std::erase(observers, m_table.self().node);
    return observers;
}

} // namespace hawthornslip
