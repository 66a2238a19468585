#include "modules/membership/membership_protocol.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace hawthornslip {

namespace {

using namespace membership; // NOLINT(google-build-using-namespace)

// Changes are piggybacked on probes and answers for this long, which repairs lost announcements.
constexpr auto kGossipDuration = seconds(3);
constexpr std::size_t kMaxGossipUpdates = 8;
// Full states are exchanged when gossip did not repair a differing digest within this time. The
// interval doubles with each exchange until the digests match, because an exchange may change
// nothing, for example during a partition.
constexpr auto kDigestRepairTimeout = seconds(3);
constexpr auto kSyncInterval = seconds(3);
constexpr auto kMaxSyncInterval = seconds(60);
constexpr auto kJoinInterval = seconds(1);
// Dead nodes are probed for this time, which is longer than any partition between regions, so that
// both sides find each other again.
constexpr auto kDeadRetention = seconds(3600);
constexpr auto kCandidateProbeInterval = seconds(1);
// More candidates are probed while no other node is live, so that stale entries don't delay a
// start.
constexpr int kCandidateProbesWhenAlone = 3;
constexpr auto kDeadNoticeInterval = seconds(1);
// With 5% message loss a single announcement in a cluster of 36 usually misses some node, and the
// repair by gossip then exceeds the target for the detection time.
constexpr int kAnnouncementCount = 3;
constexpr auto kAnnouncementInterval = milliseconds(150);

bool sameOrNewer(const MemberUpdate &a, const MemberUpdate &b)
{
    return std::tie(a.incarnation, a.refutation) >= std::tie(b.incarnation, b.refutation);
}

MemberUpdate deadAsSuspect(MemberUpdate update)
{
    // A forwarded death may be outdated, so the receiver has to check the node itself.
    if (update.state == MemberState::Dead)
        update.state = MemberState::Suspect;
    return update;
}

} // namespace

MembershipProtocol::MembershipProtocol(MemberUpdate self, std::uint64_t seed, TimePoint now,
                                       DetectorSettings settings)
    : m_random(seed)
    , m_table(std::move(self), now)
    , m_detector(m_table, settings, m_random)
    , m_settings(settings)
    , m_now(now)
    , m_nextSync(now)
    , m_syncInterval(kSyncInterval)
{}

Actions MembershipProtocol::handle(const Event &event, TimePoint now)
{
    m_now = now;
    std::visit([this](const auto &it) { on(it); }, event);
    processChanges();
    for (auto &it : m_output.actions) {
        if (auto *probe = std::get_if<SendProbe>(&it))
            addGossip(*probe);
    }
    return std::exchange(m_output.actions, {});
}

void MembershipProtocol::processChanges()
{
    while (!m_output.deadNodes.empty() || m_liveNodesChanged) {
        for (const auto &it : std::exchange(m_output.deadNodes, {}))
            declareDead(it);
        if (std::exchange(m_liveNodesChanged, false)) {
            m_detector.updateTargets(m_now, m_output);
            m_output.actions.emplace_back(LiveNodesChanged{});
        }
    }
}

void MembershipProtocol::addGossip(SendProbe &probe) const
{
    probe.digest = m_table.digest();
    // A node that is not live in this table may not know this node either.
    probe.updates = recentUpdates(!m_table.isLive(probe.to));
}

std::vector<MemberUpdate> MembershipProtocol::recentUpdates(bool withSelf) const
{
    auto updates = m_table.changedSince(m_now - kGossipDuration, kMaxGossipUpdates);
    if (withSelf) {
        std::erase_if(updates, [&](const auto &it) { return it.node == m_table.self().node; });
        updates.insert(updates.begin(), m_table.self());
    }
    for (auto &it : updates)
        it = deadAsSuspect(std::move(it));
    return updates;
}

void MembershipProtocol::on(const Tick &)
{
    if (m_stopped)
        return;
    m_detector.tick(m_now, m_output);
    repeatAnnouncements();
    if (m_now < m_nextCandidateProbe)
        return;
    m_nextCandidateProbe = m_now + kCandidateProbeInterval;
    m_table.removeDead(m_now - kDeadRetention, m_candidates);
    const auto unknown = [this](const auto &it) { return m_table.find(it.first) == nullptr; };
    std::erase_if(m_lastDeadNotice, unknown);
    std::erase_if(m_digestDiffersSince, unknown);
    m_detector.removeUnknown();
    probeCandidates();
}

void MembershipProtocol::probeCandidates()
{
    std::set<NodeId> unreached;
    for (const auto &it : m_candidates) {
        if (!m_table.isLive(it))
            unreached.insert(it);
    }
    for (const auto &[node, member] : m_table.members()) {
        if (!member.live())
            unreached.insert(node);
    }
    unreached.erase(m_table.self().node);
    const int n = m_table.ring().size() > 1 ? 1 : kCandidateProbesWhenAlone;
    std::vector<NodeId> chosen;
    std::sample(unreached.begin(), unreached.end(), std::back_inserter(chosen), n, m_random);
    for (const auto &it : chosen)
        m_detector.probe(it, m_now, m_output);
}

void MembershipProtocol::on(const CandidatesListed &event)
{
    m_candidates = event.nodes;
    std::erase(m_candidates, m_table.self().node);
    // Until this node has joined, the listed nodes are probed at once.
    if (!m_joined)
        m_nextCandidateProbe = m_now;
}

void MembershipProtocol::on(const ProbeReceived &event)
{
    checkSender(event.sender, event.incarnation);
    const bool includesSender =
            std::any_of(event.updates.begin(), event.updates.end(),
                        [&](const MemberUpdate &it) { return it.node == event.sender; });
    applyUpdates(event.sender, event.updates);
    m_output.actions.emplace_back(SendAck{
            event.sender, event.nonce, m_table.digest(), {}, recentUpdates(includesSender)});
    compareDigest(event.sender, event.digest);
}

void MembershipProtocol::on(const AckReceived &event)
{
    checkSender(event.sender, event.incarnation);
    applyUpdates(event.sender, event.updates);
    const auto probe = m_detector.takeProbe(event.nonce);
    if (!event.target.empty()) {
        if (probe && probe->target == event.target)
            m_detector.noteAnswer(event.target, m_now);
        return;
    }
    if (probe && probe->target == event.sender) {
        m_detector.noteAnswer(event.sender, m_now);
        if (!probe->origin.empty())
            m_output.actions.emplace_back(
                    SendAck{probe->origin, probe->originNonce, m_table.digest(), event.sender, {}});
    }
    if (!m_joined)
        sendFullState(event.sender);
    compareDigest(event.sender, event.digest);
}

void MembershipProtocol::on(const ProbeRequestReceived &event)
{
    m_detector.noteMessage(event.sender, m_now);
    m_detector.probe(event.target, m_now, m_output, event.sender, event.nonce);
}

void MembershipProtocol::on(const UpdatesReceived &event)
{
    checkSender(event.sender, event.incarnation);
    applyUpdates(event.sender, event.updates);
    if (event.fullStateWanted) {
        answerFullState(event.sender, event.updates);
        return;
    }
    const bool fromItself =
            std::any_of(event.updates.begin(), event.updates.end(),
                        [&](const MemberUpdate &it) { return it.node == event.sender; });
    if (!fromItself)
        return;
    m_detector.noteAnswer(event.sender, m_now);
    if (!std::exchange(m_joined, true))
        announce(m_table.self(), false);
}

void MembershipProtocol::on(const MessageReceived &event)
{
    checkSender(event.sender, event.incarnation);
}

void MembershipProtocol::on(const LeaveRequested &)
{
    if (m_table.self().state != MemberState::Alive)
        return;
    m_table.setSelfState(MemberState::Leaving, m_now);
    m_liveNodesChanged = true;
    announce(m_table.self(), false);
}

void MembershipProtocol::on(const StopRequested &)
{
    m_stopped = true;
    MemberUpdate finalUpdate = m_table.self();
    finalUpdate.state = MemberState::Dead;
    announce(finalUpdate, false);
}

void MembershipProtocol::checkSender(const NodeId &sender, std::uint64_t incarnation)
{
    m_detector.noteMessage(sender, m_now);
    const Member *member = m_table.find(sender);
    if (member == nullptr)
        return;
    const bool outdated = incarnation < member->update.incarnation;
    const bool knownDead = !member->live() && incarnation == member->update.incarnation;
    if (!outdated && !knownDead)
        return;
    TimePoint &lastNotice = m_lastDeadNotice[sender];
    if (m_now - lastNotice < kDeadNoticeInterval)
        return;
    lastNotice = m_now;
    m_output.actions.emplace_back(SendUpdates{sender, {member->update}, false});
}

void MembershipProtocol::compareDigest(const NodeId &sender, std::uint32_t digest)
{
    if (digest == m_table.digest()) {
        m_digestDiffersSince.erase(sender);
        if (m_digestDiffersSince.empty())
            m_syncInterval = kSyncInterval;
        return;
    }
    const TimePoint since = m_digestDiffersSince.try_emplace(sender, m_now).first->second;
    if (m_now - since < kDigestRepairTimeout || m_now < m_nextSync)
        return;
    m_digestDiffersSince.erase(sender);
    sendFullState(sender);
}

void MembershipProtocol::applyUpdates(const NodeId &sender,
                                      const std::vector<MemberUpdate> &updates)
{
    for (const auto &it : updates)
        applyUpdate(sender, it);
}

void MembershipProtocol::applyUpdate(const NodeId &sender, const MemberUpdate &update)
{
    if (update.node == m_table.self().node) {
        applyUpdateAboutSelf(sender, update);
        return;
    }
    if (update.state == MemberState::Suspect) {
        const Member *member = m_table.find(update.node);
        if (member != nullptr && member->live() && sameOrNewer(update, member->update))
            m_detector.noteSuspicion(sender, update.node, m_now, m_output);
        return;
    }
    if (m_table.apply(update, m_now) != ApplyResult::Changed)
        return;
    m_liveNodesChanged = true;
    if (update.state == MemberState::Dead)
        m_output.actions.emplace_back(ClosePeer{update.node});
}

void MembershipProtocol::applyUpdateAboutSelf(const NodeId &sender, const MemberUpdate &update)
{
    const MemberUpdate &self = m_table.self();
    if (update.incarnation > self.incarnation) {
        m_output.actions.emplace_back(AddressTaken{update.incarnation});
        return;
    }
    const bool reportsDeath =
            update.state == MemberState::Dead || update.state == MemberState::Suspect;
    if (!reportsDeath || m_stopped)
        return;
    const bool current = update.incarnation == self.incarnation;
    if (update.state == MemberState::Dead && current && update.refutation >= self.refutation) {
        m_table.raiseRefutationAbove(update.refutation, m_now);
        // Dead nodes get it too: after a partition they consider this node dead as well.
        announce(m_table.self(), true);
    }
    m_output.actions.emplace_back(SendUpdates{sender, {m_table.self()}, false});
}

void MembershipProtocol::declareDead(const DeadNode &deadNode)
{
    const Member *member = m_table.find(deadNode.node);
    if (member == nullptr || !member->live())
        return;
    MemberUpdate update = member->update;
    update.state = MemberState::Dead;
    m_table.apply(update, m_now);
    m_liveNodesChanged = true;
    if (deadNode.announce) {
        announce(update, false);
        // If the node is alive and was only unreachable from here, it can refute this.
        m_output.actions.emplace_back(SendUpdates{deadNode.node, {update}, false});
    } else {
        m_output.actions.emplace_back(ClosePeer{deadNode.node});
    }
}

void MembershipProtocol::announce(const MemberUpdate &update, bool includeDead)
{
    sendToAll(update, includeDead);
    m_announcements[update.node] = {update, includeDead, kAnnouncementCount - 1,
                                    m_now + kAnnouncementInterval};
}

void MembershipProtocol::repeatAnnouncements()
{
    for (auto &[node, announcement] : m_announcements) {
        if (m_now < announcement.nextSend)
            continue;
        // An update that is no longer current, for example a refuted death, is not repeated.
        const Member *member = m_table.find(node);
        if (member == nullptr || member->update != announcement.update)
            announcement.remaining = 0;
        if (announcement.remaining-- <= 0)
            continue;
        announcement.nextSend = m_now + kAnnouncementInterval;
        sendToAll(announcement.update, announcement.includeDead);
    }
    std::erase_if(m_announcements, [](const auto &it) { return it.second.remaining <= 0; });
}

void MembershipProtocol::sendToAll(const MemberUpdate &update, bool includeDead)
{
    for (const auto &[node, member] : m_table.members()) {
        if (node != m_table.self().node && node != update.node && (member.live() || includeDead))
            m_output.actions.emplace_back(SendUpdates{node, {update}, false});
    }
}

void MembershipProtocol::sendFullState(const NodeId &to)
{
    if (m_now < m_nextSync)
        return;
    m_nextSync = m_now + (m_joined ? m_syncInterval : kJoinInterval);
    if (m_joined)
        m_syncInterval = std::min<Duration>(m_syncInterval * 2, kMaxSyncInterval);
    SendUpdates full{to, {}, true};
    for (const auto &[node, member] : m_table.members()) {
        if (member.live())
            full.updates.push_back(member.update);
    }
    m_output.actions.emplace_back(std::move(full));
}

void MembershipProtocol::answerFullState(const NodeId &to,
                                         const std::vector<MemberUpdate> &peerUpdates)
{
    std::map<NodeId, MemberUpdate> known;
    for (const auto &it : peerUpdates)
        known[it.node] = it;
    SendUpdates answer{to, {m_table.self()}, false};
    for (const auto &[node, member] : m_table.members()) {
        if (node == m_table.self().node || node == to)
            continue;
        const auto it = known.find(node);
        if (it == known.end() ? member.live() : it->second != member.update)
            answer.updates.push_back(deadAsSuspect(member.update));
    }
    m_output.actions.emplace_back(std::move(answer));
}

} // namespace hawthornslip
