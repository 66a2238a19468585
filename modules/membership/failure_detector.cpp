#include "modules/membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

using namespace membership; // NOLINT(google-build-using-namespace)

// Late answers still count, so that a node that resumes after a pause is responsive at once.
constexpr auto kProbeLifetime = seconds(10);
// A node whose entry is older than this was probed by its previous observers until now, so a new
// observer starts with half of the suspect timeout elapsed. That halves the detection time when a
// whole failure domain crashes.
constexpr auto kStableAfter = seconds(5);
constexpr int kProbesBeforeSuspicion = 2;

} // namespace

FailureDetector::FailureDetector(const MembershipTable &table, DetectorSettings settings,
                                 std::mt19937_64 &random)
    : m_table(table)
    , m_settings(settings)
    , m_random(random)
{}

void FailureDetector::updateTargets(TimePoint now, DetectorOutput &output)
{
    const auto wanted = m_table.successors(m_table.self().node, m_settings.observers);
    std::erase_if(m_targets, [&](const auto &it) {
        return std::find(wanted.begin(), wanted.end(), it.first) == wanted.end();
    });
    for (const auto &node : wanted) {
        if (m_targets.contains(node))
            continue;
        const Member *member = m_table.find(node);
        const bool stable = member->since + kStableAfter < now;
        Target target;
        target.lastAnswer = stable ? now - m_settings.suspectTimeout / 2 : now;
        probeTarget(node, m_targets[node] = target, now, output);
    }
}

void FailureDetector::tick(TimePoint now, DetectorOutput &output)
{
    if (m_lastTick && now - *m_lastTick > m_settings.pauseThreshold)
        resetAfterPause(now);
    m_lastTick = now;
    std::erase_if(m_openProbes,
                  [&](const auto &it) { return it.second.sent + kProbeLifetime < now; });
    if (now >= m_nextProbeRound) {
        // Missed rounds are skipped.
        m_nextProbeRound = std::max(m_nextProbeRound + m_settings.probeInterval,
                                    now + m_settings.probeInterval / 2);
        for (auto &[node, target] : m_targets)
            probeTarget(node, target, now, output);
    }
    for (auto &[node, target] : m_targets) {
        const bool late = target.lastAnswer < target.lastProbe &&
                          now - target.lastProbe >= m_settings.indirectProbeDelay;
        if (late && !target.indirectProbesRequested) {
            target.indirectProbesRequested = true;
            requestIndirectProbes(node, now, output);
        }
        checkSilence(node, target, now, output);
    }
    runChecks(now, output);
}

void FailureDetector::resetAfterPause(TimePoint now)
{
    for (auto &[node, target] : m_targets) {
        target.lastAnswer = now;
        target.unanswered = 0;
    }
    for (auto &[node, check] : m_checks)
        check.started = now;
    m_suspicions.clear();
}

void FailureDetector::noteAnswer(const NodeId &node, TimePoint now)
{
    m_lastMessages[node] = now;
    m_lastAnswer = now;
    m_checks.erase(node);
    const auto it = m_targets.find(node);
    if (it == m_targets.end())
        return;
    it->second.lastAnswer = now;
    it->second.unanswered = 0;
    m_suspicions.erase(node);
}

void FailureDetector::noteSuspicion(const NodeId &from, const NodeId &about, TimePoint now,
                                    DetectorOutput &output)
{
    if (!m_table.isLive(about) || about == m_table.self().node)
        return;
    m_suspicions[about][from] = now;
    if (m_targets.contains(about))
        return;
    const auto [it, added] = m_checks.try_emplace(about);
    it->second.reporters.insert(from);
    if (added) {
        it->second.started = now;
        probe(about, now, output);
    }
}

void FailureDetector::probe(const NodeId &node, TimePoint now, DetectorOutput &output,
                            const NodeId &origin, std::uint64_t originNonce)
{
    const std::uint64_t nonce = m_random();
    m_openProbes[nonce] = {node, now, origin, originNonce};
    output.actions.push_back(SendProbe{node, nonce, 0, origin, {}});
}

std::optional<OpenProbe> FailureDetector::takeProbe(std::uint64_t nonce)
{
    const auto it = m_openProbes.find(nonce);
    if (it == m_openProbes.end())
        return std::nullopt;
    OpenProbe probe = std::move(it->second);
    m_openProbes.erase(it);
    return probe;
}

void FailureDetector::removeUnknown()
{
    const auto unknown = [this](const auto &it) { return m_table.find(it.first) == nullptr; };
    std::erase_if(m_lastMessages, unknown);
    std::erase_if(m_suspicions, unknown);
}

bool FailureDetector::connected(TimePoint now) const
{
    return m_lastAnswer && now - *m_lastAnswer < m_settings.responsiveWindow;
}

void FailureDetector::probeTarget(const NodeId &node, Target &target, TimePoint now,
                                  DetectorOutput &output)
{
    target.lastProbe = now;
    target.indirectProbesRequested = false;
    ++target.unanswered;
    probe(node, now, output);
}

void FailureDetector::requestIndirectProbes(const NodeId &node, TimePoint now,
                                            DetectorOutput &output)
{
    std::vector<NodeId> available;
    for (const auto &it : otherObservers(node)) {
        if (responsive(it, now))
            available.push_back(it);
    }
    std::shuffle(available.begin(), available.end(), m_random);
    available.resize(std::min(available.size(), m_settings.indirectProbers));
    for (const auto &it : available) {
        const std::uint64_t nonce = m_random();
        m_openProbes[nonce] = {node, now, {}, 0};
        output.actions.push_back(SendProbeRequest{it, nonce, node});
    }
}

void FailureDetector::checkSilence(const NodeId &node, Target &target, TimePoint now,
                                   DetectorOutput &output)
{
    if (now - target.lastAnswer < m_settings.suspectTimeout ||
        target.unanswered < kProbesBeforeSuspicion)
        return;
    if (confirmed(node, now)) {
        // A node that gets no answers may itself be partitioned, and must not announce the death.
        output.deadNodes.push_back({node, connected(now)});
        return;
    }
    if (now - target.lastSuspicion < m_settings.suspicionInterval)
        return;
    target.lastSuspicion = now;
    for (const auto &it : otherObservers(node))
        sendSuspicion(node, it, output);
    // The suspected node can answer this if only its probes were lost.
    sendSuspicion(node, node, output);
}

void FailureDetector::sendSuspicion(const NodeId &about, const NodeId &to,
                                    DetectorOutput &output) const
{
    MemberUpdate update = m_table.find(about)->update;
    update.state = MemberState::Suspect;
    output.actions.push_back(SendUpdates{to, {std::move(update)}, false});
}

void FailureDetector::runChecks(TimePoint now, DetectorOutput &output)
{
    std::erase_if(m_checks, [&](const auto &it) { return !m_table.isLive(it.first); });
    for (auto &[node, check] : m_checks) {
        const Duration age = now - check.started;
        if (age >= m_settings.indirectProbeDelay && !check.indirectProbesRequested) {
            check.indirectProbesRequested = true;
            probe(node, now, output);
            requestIndirectProbes(node, now, output);
        }
        if (age < m_settings.checkDuration)
            continue;
        output.deadNodes.push_back({node, false});
        // The observer that asked may have no other observer to confirm its suspicion.
        for (const auto &it : check.reporters)
            sendSuspicion(node, it, output);
    }
}

bool FailureDetector::responsive(const NodeId &node, TimePoint now) const
{
    const auto it = m_lastMessages.find(node);
    return it != m_lastMessages.end() && now - it->second < m_settings.responsiveWindow;
}

bool FailureDetector::confirmed(const NodeId &node, TimePoint now) const
{
    const auto suspicions = m_suspicions.find(node);
    if (suspicions != m_suspicions.end()) {
        for (const auto &[reporter, time] : suspicions->second) {
            if (now - time < m_settings.suspicionLifetime)
                return true;
        }
    }
    const auto others = otherObservers(node);
    return std::none_of(others.begin(), others.end(),
                        [&](const NodeId &it) { return responsive(it, now); });
}

std::vector<NodeId> FailureDetector::otherObservers(const NodeId &node) const
{
    auto observers = m_table.predecessors(node, m_settings.observers);
    std::erase(observers, m_table.self().node);
    return observers;
}

} // namespace hawthornslip
