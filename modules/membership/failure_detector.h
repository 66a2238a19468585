#pragma once

#include "core/time.h"
#include "modules/membership/membership_events.h"
#include "modules/membership/membership_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace hawthornslip {

/** Timeouts and counts of the failure detector. */
struct DetectorSettings
{
    /** Number of nodes that probe each node: its predecessors on the ring. */
    std::size_t observers = 4;
    Duration probeInterval = seconds(1);
    Duration tickInterval = milliseconds(100);
    /** Time without an answer after which other observers are asked for indirect probes. */
    Duration indirectProbeDelay = milliseconds(350);
    std::size_t indirectProbers = 2;
    /**
     * Time without an answer after which a node is suspect. A node must survive a pause of 2 s
     * after a lost probe, which is up to 2 s, a probe interval and indirectProbeDelay without an
     * answer. With the confirmation a crash is still detected by all nodes within 4 s.
     */
    Duration suspectTimeout = milliseconds(3400);
    /** How long the suspicion of another observer counts as a confirmation. */
    Duration suspicionLifetime = seconds(2);
    Duration suspicionInterval = milliseconds(500);
    /** An observer is able to confirm a suspicion if a message from it arrived within this time. */
    Duration responsiveWindow = seconds(2);
    /** How long a node that others suspect is probed before it is considered dead here. */
    Duration checkDuration = milliseconds(1200);
    /** A longer gap between ticks means that this process was paused. */
    Duration pauseThreshold = milliseconds(600);
};

/** A node that the detector considers dead. */
struct DeadNode
{
    NodeId node;
    /** Whether to announce the death to all nodes or only to record it here. */
    bool announce = false;
};

/** The messages to send and the nodes that were found dead. */
struct DetectorOutput
{
    membership::Actions actions;
    std::vector<DeadNode> deadNodes;
};

/** A probe that was sent and not yet answered. */
struct OpenProbe
{
    NodeId target;
    TimePoint sent;
    /** The node that asked for an indirect probe, or empty. */
    NodeId origin;
    std::uint64_t originNonce = 0;
};

/**
 * Probes the successors of this node on the ring and decides which nodes are dead. A node that
 * answers neither direct nor indirect probes is suspect. It is dead when another observer suspects
 * it too, or when no other observer is responsive.
 */
class FailureDetector
{
public:
    /**
     * @param table the members; must outlive the detector.
     * @param random chooses nonces and indirect probers; must outlive the detector.
     */
    FailureDetector(const MembershipTable &table, DetectorSettings settings,
                    std::mt19937_64 &random);

    /** Updates which successors are probed; to be called after each change of the live nodes. */
    void updateTargets(TimePoint now, DetectorOutput &output);

    /** Sends the probes that are due and checks the probed nodes for timeouts. */
    void tick(TimePoint now, DetectorOutput &output);

    /** Records that a message of any kind arrived from @p node. */
    void noteMessage(const NodeId &node, TimePoint now) { m_lastMessages[node] = now; }

    /** Records that @p node answered, which shows that it can receive and send. */
    void noteAnswer(const NodeId &node, TimePoint now);

    /**
     * Records that @p from suspects @p about, and starts a check of @p about when this node is not
     * one of its observers.
     */
    void noteSuspicion(const NodeId &from, const NodeId &about, TimePoint now,
                       DetectorOutput &output);

    /** Sends a probe to @p node, on behalf of @p origin when that is not empty. */
    void probe(const NodeId &node, TimePoint now, DetectorOutput &output, const NodeId &origin = {},
               std::uint64_t originNonce = 0);

    /** Removes the open probe with @p nonce. @return the probe, or nothing when there is none. */
    std::optional<OpenProbe> takeProbe(std::uint64_t nonce);

    /** Removes the records of nodes that are no longer in the table. */
    void removeUnknown();

    /** @return true if any node has answered within the responsive window. */
    bool connected(TimePoint now) const;

private:
    struct Target
    {
        TimePoint lastAnswer;
        TimePoint lastProbe;
        TimePoint lastSuspicion;
        int unanswered = 0;
        bool indirectProbesRequested = false;
    };

    /** The check of a node that another node suspects and that this node does not observe. */
    struct Check
    {
        TimePoint started;
        std::set<NodeId> reporters;
        bool indirectProbesRequested = false;
    };

    void probeTarget(const NodeId &node, Target &target, TimePoint now, DetectorOutput &output);
    void requestIndirectProbes(const NodeId &node, TimePoint now, DetectorOutput &output);
    void checkSilence(const NodeId &node, Target &target, TimePoint now, DetectorOutput &output);
    void sendSuspicion(const NodeId &about, const NodeId &to, DetectorOutput &output) const;
    void runChecks(TimePoint now, DetectorOutput &output);
    void resetAfterPause(TimePoint now);
    bool responsive(const NodeId &node, TimePoint now) const;
    bool confirmed(const NodeId &node, TimePoint now) const;
    std::vector<NodeId> otherObservers(const NodeId &node) const;

    const MembershipTable &m_table;
    DetectorSettings m_settings;
    std::mt19937_64 &m_random;
    std::map<NodeId, Target> m_targets;
    std::map<NodeId, Check> m_checks;
    /** By suspected node: the time of the last suspicion of each reporter. */
    std::map<NodeId, std::map<NodeId, TimePoint>> m_suspicions;
    std::map<NodeId, TimePoint> m_lastMessages;
    std::map<std::uint64_t, OpenProbe> m_openProbes;
    std::optional<TimePoint> m_lastTick;
    std::optional<TimePoint> m_lastAnswer;
    TimePoint m_nextProbeRound;
};

} // namespace hawthornslip
