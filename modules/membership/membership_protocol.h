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
 * Decides which nodes are live, without I/O: handles events and returns the messages to send.
 * Combines the membership table, the failure detector, the announcement of changes and the
 * exchange of full states with nodes whose digest differs.
 */
class MembershipProtocol
{
public:
    /**
     * @param self this node with its incarnation, failure domain and region.
     * @param seed for nonces and random choices.
     */
    MembershipProtocol(MemberUpdate self, std::uint64_t seed, TimePoint now,
                       DetectorSettings settings = {});

    MembershipProtocol(const MembershipProtocol &) = delete;
    MembershipProtocol &operator=(const MembershipProtocol &) = delete;

    /** Handles @p event at time @p now. @return the actions to carry out, in order. */
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

    /** An update that is sent to all nodes several times. */
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
    /** Whether a node has sent an update about itself, such as the answer to a full state. */
    bool m_joined = false;
    bool m_stopped = false;
    TimePoint m_nextCandidateProbe;
    TimePoint m_nextSync;
    Duration m_syncInterval;
    /** Since when the digest of each peer has differed from this node's. */
    std::map<NodeId, TimePoint> m_digestDiffersSince;
    std::map<NodeId, Announcement> m_announcements;
    /** When each sender that is dead or outdated in the table was last sent its entry. */
    std::map<NodeId, TimePoint> m_lastDeadNotice;
};

} // namespace hawthornslip
