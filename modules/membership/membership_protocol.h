#pragma once

#include "core/time.h"
#include "modules/membership/failure_detector.h"
#include "modules/membership/membership_events.h"
#include "modules/membership/membership_table.h"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace hawthornslip {

/**
 * Decides which nodes are live: takes what arrived and the time, and returns what to send. Joins
 * the table, the failure detector, the announcement of changes and the repair of differences.
 */
class MembershipProtocol
{
public:
    /**
     * @param self this node with its incarnation and place.
     * @param seed for nonces and random choices.
     */
    MembershipProtocol(MemberUpdate self, std::uint64_t seed, TimePoint now,
                       DetectorSettings settings = {});

    MembershipProtocol(const MembershipProtocol &) = delete;
    MembershipProtocol &operator=(const MembershipProtocol &) = delete;

    /** Takes @p event at @p now. @return what to do, in order. */
    membership::Actions handle(const membership::Event &event, TimePoint now);

    const MembershipTable &table() const { return m_table; }

    /** @return the nodes that the VM list and the seeds name, without this one. */
    const std::vector<NodeId> &candidates() const { return m_candidates; }

private:
    void on(const membership::Tick &event);
    void on(const membership::CandidatesListed &event);
    void on(const membership::ProbeReceived &event);
    void on(const membership::AckReceived &event);
    void on(const membership::ProbeRequestReceived &event);
    void on(const membership::UpdatesReceived &event);
    void on(const membership::MessageReceived &event);
    void on(const membership::LeaveRequested &event);
    void on(const membership::StopRequested &event);

    void checkSender(const NodeId &sender, std::uint64_t incarnation);
    void compareDigest(const NodeId &sender, std::uint32_t digest);
    void applyUpdate(const NodeId &sender, const MemberUpdate &update);
    void applyUpdateAboutSelf(const NodeId &sender, const MemberUpdate &update);
    void applyUpdates(const NodeId &sender, const std::vector<MemberUpdate> &updates);
    void declareDead(const DeadNode &deadNode);
    void announce(const MemberUpdate &update, bool includeDead);
    void repeatAnnouncements();
    void sendToAll(const MemberUpdate &update, bool includeDead);
    void sendFullState(const NodeId &to);
    void answerFullState(const NodeId &to, const std::vector<MemberUpdate> &peerUpdates);
    void probeCandidates();
    void processChanges();
    void addGossip(membership::SendProbe &probe) const;
    std::vector<MemberUpdate> recentUpdates(bool withSelf) const;

    /** An update that all nodes are told several times. */
    struct Announcement
    {
        MemberUpdate update;
        bool includeDead = false;
        int remaining = 0;
        TimePoint nextSend;
    };

    std::mt19937_64 m_random;
    MembershipTable m_table;
    FailureDetector m_detector;
    DetectorSettings m_settings;
    TimePoint m_now;
    DetectorOutput m_output;
    std::vector<NodeId> m_candidates;
    bool m_liveNodesChanged = false;
    /** Whether a whole list of another node was received. */
    bool m_joined = false;
    bool m_stopped = false;
    TimePoint m_nextCandidateProbe;
    TimePoint m_nextSync;
    Duration m_syncInterval;
    /** Since when the digest of a peer has differed from ours. */
    std::map<NodeId, TimePoint> m_digestDiffersSince;
    std::map<NodeId, Announcement> m_announcements;
    /** When a node that is held dead was last told so. */
    std::map<NodeId, TimePoint> m_lastDeadNotice;
};

} // namespace hawthornslip
