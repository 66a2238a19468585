#include "modules/membership/membership_table.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace hawthornslip {

namespace {

std::uint64_t hashOf(const NodeId &node)
{
    return XXH3_64bits(node.value.data(), node.value.size());
}

auto ringKey(const NodeId &node)
{
    return std::pair(hashOf(node), node);
}

auto versionKey(const MemberUpdate &update)
{
    return std::tuple(update.incarnation, update.refutation, update.state);
}

// Excludes refutations, which don't change the live nodes or their states.
std::uint32_t checksumOf(const MemberUpdate &update)
{
    const std::uint64_t seed = update.incarnation * 4 + static_cast<std::uint64_t>(update.state);
    return static_cast<std::uint32_t>(
            XXH3_64bits_withSeed(update.node.value.data(), update.node.value.size(), seed));
}

} // namespace

MembershipTable::MembershipTable(MemberUpdate self, TimePoint now)
    : m_self(self.node)
{
    m_members[m_self] = {std::move(self), now, now};
    rebuildRing();
}

ApplyResult MembershipTable::apply(const MemberUpdate &update, TimePoint now)
{
    if (update.node == m_self || update.node.empty() || update.state == MemberState::Suspect)
        return ApplyResult::Ignored;
    const auto it = m_members.find(update.node);
    if (it == m_members.end()) {
        m_members[update.node] = {update, now, now};
        if (update.state == MemberState::Dead)
            return ApplyResult::Updated;
        rebuildRing();
        return ApplyResult::Changed;
    }
    Member &member = it->second;
    if (versionKey(update) <= versionKey(member.update))
        return ApplyResult::Ignored;
    const bool restarted = update.incarnation != member.update.incarnation;
    const bool changed = update.state != member.update.state || restarted;
    MemberUpdate merged = update;
    // An update from an observer may lack the failure domain and region of the node.
    if (merged.domain.empty())
        merged.domain = member.update.domain;
    if (merged.region.empty())
        merged.region = member.update.region;
    member = {std::move(merged), now, restarted ? now : member.knownSince};
    if (!changed)
        return ApplyResult::Updated;
    rebuildRing();
    return ApplyResult::Changed;
}

void MembershipTable::raiseRefutationAbove(std::uint32_t refutation, TimePoint now)
{
    Member &self = m_members.at(m_self);
    self.update.refutation = std::max(self.update.refutation, refutation + 1);
    self.since = now;
}

void MembershipTable::setSelfState(MemberState state, TimePoint now)
{
    Member &self = m_members.at(m_self);
    self.update.state = state;
    self.since = now;
    rebuildRing();
}

const Member *MembershipTable::find(const NodeId &node) const
{
    const auto it = m_members.find(node);
    return it == m_members.end() ? nullptr : &it->second;
}

bool MembershipTable::isLive(const NodeId &node) const
{
    const Member *member = find(node);
    return member != nullptr && member->live();
}

std::vector<NodeId> MembershipTable::successors(const NodeId &node, std::size_t n) const
{
    return neighbours(node, n, true);
}

std::vector<NodeId> MembershipTable::predecessors(const NodeId &node, std::size_t n) const
{
    return neighbours(node, n, false);
}

std::vector<NodeId> MembershipTable::neighbours(const NodeId &node, std::size_t n,
                                                bool forward) const
{
    std::vector<NodeId> found;
    const std::size_t size = m_ring.size();
    const auto start = std::lower_bound(
            m_ring.begin(), m_ring.end(), node,
            [](const NodeId &a, const NodeId &b) { return ringKey(a) < ringKey(b); });
    auto at = static_cast<std::size_t>(start - m_ring.begin());
    // For a node that is not on the ring, lower_bound returns its successor.
    const bool onRing = at < size && m_ring[at] == node;
    if (forward && !onRing)
        at += size - 1;
    for (std::size_t step = 1; step <= size && found.size() < n; ++step) {
        const auto &it = m_ring[(forward ? at + step : at + size - step) % size];
        if (it == node)
            break;
        found.push_back(it);
    }
    return found;
}

std::vector<MemberUpdate> MembershipTable::changedSince(TimePoint since, std::size_t limit) const
{
    std::vector<const Member *> recent;
    for (const auto &[node, member] : m_members) {
        if (member.since > since)
            recent.push_back(&member);
    }
    const std::size_t count = std::min(limit, recent.size());
    std::partial_sort(recent.begin(), recent.begin() + static_cast<std::ptrdiff_t>(count),
                      recent.end(),
                      [](const Member *a, const Member *b) { return a->since > b->since; });
    std::vector<MemberUpdate> updates;
    for (std::size_t i = 0; i < count; ++i)
        updates.push_back(recent[i]->update);
    return updates;
}

void MembershipTable::removeDead(TimePoint before, const std::vector<NodeId> &keep)
{
    std::erase_if(m_members, [&](const auto &it) {
        const auto &[node, member] = it;
        return !member.live() && member.since < before && node != m_self &&
               std::find(keep.begin(), keep.end(), node) == keep.end();
    });
}

void MembershipTable::rebuildRing()
{
    std::vector<std::pair<std::uint64_t, NodeId>> order;
    m_digest = 0;
    for (const auto &[node, member] : m_members) {
        if (!member.live())
            continue;
        order.push_back(ringKey(node));
        m_digest ^= checksumOf(member.update);
    }
    std::sort(order.begin(), order.end());
    m_ring.clear();
    for (auto &it : order)
        m_ring.push_back(std::move(it.second));
}

} // namespace hawthornslip
