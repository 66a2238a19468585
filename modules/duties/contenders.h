#pragma once

#include "core/ids.h"

#include <cstddef>
#include <vector>

namespace hawthornslip {

/** Nodes that compete for the duties: the holder and two that replace it when it is lost. */
inline constexpr std::size_t kDutyContenders = 3;

/**
 * @param self this node. @param peers the other nodes that it hears.
 * @return the nodes that compete for the duties, as this node sees them.
 */
std::vector<NodeId> dutyContenders(const NodeId &self, std::vector<NodeId> peers);

/**
 * Chooses who competes for the duties, so that not every node reads the lease.
 *
 * @param self this node. @param peers the other nodes that it hears; nodes that hear others choose
 *        others, which costs calls to the store and nothing else.
 * @return true when @p self is among the first kDutyContenders nodes by rendezvous hashing.
 */
bool isDutyContender(const NodeId &self, std::vector<NodeId> peers);

} // namespace hawthornslip
