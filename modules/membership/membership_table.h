#pragma once

#include "core/time.h"
#include "modules/membership/membership_events.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace hawthornslip {

/** A node as the table knows it. */
struct Member
{
    MemberUpdate update;
    /** When the update was applied here. */
    TimePoint updatedAt;
    /** When the node was first known with its present incarnation. */
    TimePoint knownSince;

    bool live() const { return update.state != MemberState::Dead; }
};

/** What applying an update did. */
enum class ApplyResult {
    /** The update is older than, or the same as, what is known. */
    Ignored,
    /** The update was taken; the set of live nodes is the same. */
    Updated,
    /** A node became live, died, restarted or began to leave. */
    Changed,
};

/**
 * The nodes with the newest update of each. Updates may arrive in any order and any number of
 * times: the highest incarnation wins, then the highest refutation, then the later state.
 */
class MembershipTable
{
public:
    /** @param self the node's own entry, which only raiseRefutationAbove() and setSelfState()
     * change. */
    MembershipTable(MemberUpdate self, TimePoint now);

    /** Takes @p update when it is newer than what is known; Suspect and the node itself never. */
    ApplyResult apply(const MemberUpdate &update, TimePoint now);

    /** Raises the node's own refutation above @p refutation. */
    void raiseRefutationAbove(std::uint32_t refutation, TimePoint now);

    /** Sets the node's own state. */
    void setSelfState(MemberState state, TimePoint now);

    const MemberUpdate &self() const { return m_members.at(m_self).update; }

    /** @return the member, or nullptr when it was never heard of. */
    const Member *find(const NodeId &node) const;

    /** @return true when @p node is known and not dead. */
    bool isLive(const NodeId &node) const;

    /** @return all live nodes with this one in the order of their hash. */
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

    /** Drops the dead that died before @p time unless @p keep names them. */
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
