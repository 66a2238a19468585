#pragma once

#include "core/time.h"
#include "modules/membership/membership_events.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace hawthornslip {

/** The table entry of one node. */
struct Member
{
    MemberUpdate update;
    /** When the update was applied here. */
    TimePoint since;
    /** When the current incarnation of the node was first seen. */
    TimePoint knownSince;

    bool live() const { return update.state != MemberState::Dead; }
};

/** The effect of applying an update. */
enum class ApplyResult {
    /** The update is not newer than the entry. */
    Ignored,
    /** The entry was updated; the live nodes and their states are unchanged. */
    Updated,
    /** A node became live, died, restarted or started to leave. */
    Changed,
};

/**
 * All known nodes with the newest update of each. Updates may arrive in any order and any number
 * of times: the highest incarnation takes precedence, then the highest refutation, then the
 * higher MemberState.
 */
class MembershipTable
{
public:
    /**
     * @param self the entry of this node; only raiseRefutationAbove() and setSelfState() change it.
     */
    MembershipTable(MemberUpdate self, TimePoint now);

    /** Applies @p update if it is newer; ignores the state Suspect and updates about this node. */
    ApplyResult apply(const MemberUpdate &update, TimePoint now);

    /** Raises this node's refutation above @p refutation. */
    void raiseRefutationAbove(std::uint32_t refutation, TimePoint now);

    /** Sets this node's state. */
    void setSelfState(MemberState state, TimePoint now);

    const MemberUpdate &self() const { return m_members.at(m_self).update; }

    /** @return the entry of @p node, or nullptr when it is unknown. */
    const Member *find(const NodeId &node) const;

    /** @return true when @p node is known and not dead. */
    bool isLive(const NodeId &node) const;

    /** @return all live nodes, including this one, in the order of their hash. */
    const std::vector<NodeId> &ring() const { return m_ring; }

    /** @return up to @p n live nodes that follow @p node on the ring, nearest first. */
    std::vector<NodeId> successors(const NodeId &node, std::size_t n) const;

    /** @return up to @p n live nodes that precede @p node on the ring, nearest first. */
    std::vector<NodeId> predecessors(const NodeId &node, std::size_t n) const;

    /** @return a checksum of the live nodes and their states. */
    std::uint32_t digest() const { return m_digest; }

    /** @return the updates applied since @p since, newest first, at most @p limit. */
    std::vector<MemberUpdate> changedSince(TimePoint since, std::size_t limit) const;

    /** @return all members by id. */
    const std::map<NodeId, Member> &members() const { return m_members; }

    /** Removes nodes that are dead since before @p before, except those in @p keep. */
    void removeDead(TimePoint before, const std::vector<NodeId> &keep);

private:
    void rebuildRing();
    std::vector<NodeId> neighbours(const NodeId &node, std::size_t n, bool forward) const;

    NodeId m_self;
    std::map<NodeId, Member> m_members;
    std::vector<NodeId> m_ring;
    std::uint32_t m_digest = 0;
};

} // namespace hawthornslip
