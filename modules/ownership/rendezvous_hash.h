#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace hawthornslip {

/**
 * Chooses the owner of @p key among @p nodes by rendezvous hashing: when a node leaves, only the
 * keys that it owned move.
 *
 * @return the node with the highest weight, or an empty id when @p nodes is empty.
 */
NodeId rendezvousOwner(std::string_view key, const std::vector<NodeId> &nodes);

/** @return the @p n nodes with the highest weights for @p key, highest first. */
std::vector<NodeId> rendezvousOrder(std::string_view key, const std::vector<NodeId> &nodes,
                                    std::size_t n);

/** @return the hash of a member's name, as used by rendezvousWeight(). */
std::uint64_t rendezvousMemberHash(std::string_view name);

/** @return the weight of a member for @p key; the member with the highest weight is chosen. */
std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t memberHash);

} // namespace hawthornslip
