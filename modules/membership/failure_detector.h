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

/** Times and counts of the failure detector. */
struct DetectorSettings
{
    /** Nodes that watch each node: its predecessors on the ring. */
    std::size_t observers = 4;
    Duration probeInterval = seconds(1);
    Duration tickInterval = milliseconds(100);
    /** An answer that takes longer makes the observer ask helpers for indirect probes. */
    Duration indirectProbeDelay = milliseconds(350);
    std::size_t indirectProbers = 2;
    /**
     * Silence that makes a node suspect. At the end of a pause of 2 s that follows a lost probe it
     * is 2 s, a probe interval and indirectProbeDelay; with the confirmation a crash is still known
     * everywhere within 4 s.
     */
    Duration suspectTimeout = milliseconds(3400);
    /** How long a second observer's suspicion counts. */
    Duration suspicionLifetime = seconds(2);
    Duration suspicionInterval = milliseconds(500);
    /** A node heard within this time is able to confirm a suspicion. */
    Duration responsiveWindow = seconds(2);
    /** A node that others report dead is checked for this long before it is taken for dead. */
    Duration checkDuration = milliseconds(1200);
    /** A longer gap between ticks means that this node itself stood still. */
    Duration pauseThreshold = milliseconds(600);
};

/** A node that the detector takes for dead. */
struct DeadNode
{
    NodeId node;
    /** Whether to tell all nodes, or only to note it here. */
    bool announce = false;
};

/** What the detector wants done. */
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
 * Watches the successors of this node on the ring and decides which nodes are dead. A node that
 * answers neither direct nor indirect probes is suspect; a second observer confirms it.
 */
class FailureDetector
{
public:
    /**
     * @param table the members; must outlive the detector.
     * @param random chooses nonces and helpers; must outlive the detector.
     */
    FailureDetector(const MembershipTable &table, DetectorSettings settings,
                    std::mt19937_64 &random);

    /** Watches the present successors; to be called after each change of the live nodes. */
    void updateTargets(TimePoint now, DetectorOutput &output);

    /** Sends due probes and checks how long the watched nodes have been silent. */
    void tick(TimePoint now, DetectorOutput &output);

    /** Notes that any message of @p node arrived. */
    void noteMessage(const NodeId &node, TimePoint now) { m_lastMessages[node] = now; }

    /** Notes that @p node answered: it receives and sends. */
    void noteAnswer(const NodeId &node, TimePoint now);

    /** Notes that @p from takes @p about for dead; starts a check of a node not watched here. */
    void noteSuspicion(const NodeId &from, const NodeId &about, TimePoint now,
                       DetectorOutput &output);

    /** Sends a probe to @p node, for @p origin when that is not empty. */
    void probe(const NodeId &node, TimePoint now, DetectorOutput &output, const NodeId &origin = {},
               std::uint64_t originNonce = 0);

    /** @return the open probe with @p nonce, which is then closed, or nothing. */
    std::optional<OpenProbe> takeProbe(std::uint64_t nonce);

    /** Drops what is noted about nodes that the table has forgotten. */
    void removeUnknown();

    /** @return true while this node gets answers from any other. */
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

    /** A node that another node reported dead and that is not watched here. */
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
    /** When each node suspected another, by the suspected node. */
    std::map<NodeId, std::map<NodeId, TimePoint>> m_suspicions;
    std::map<NodeId, TimePoint> m_lastMessages;
    std::map<std::uint64_t, OpenProbe> m_openProbes;
    std::optional<TimePoint> m_lastTick;
    std::optional<TimePoint> m_lastAnswer;
    TimePoint m_nextProbeRound;
};

} // namespace hawthornslip
