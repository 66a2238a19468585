#pragma once

#include "core/ids.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace hawthornslip {

/** A live node in the local membership view. */
struct LiveNode
{
    NodeId node;
    std::uint64_t incarnation = 0;
    FailureDomain domain;
    /** Whether the node is draining: it finishes its work and may not own groups or shards. */
    bool leaving = false;

    bool operator==(const LiveNode &) const = default;
};

/** Provides the set of live nodes. All calls run on the control thread. */
class MembershipSource
{
public:
    using Listener = std::function<void()>;

    virtual ~MembershipSource() = default;

    /** @return the live nodes including this one, sorted by id. */
    virtual const std::vector<LiveNode> &liveNodes() const = 0;

    /** @return the live nodes that may own groups and claim shards, sorted by id. */
    virtual const std::vector<NodeId> &ownerCandidates() const = 0;

    /** Adds a listener that is called after each change of the live nodes. */
    virtual void subscribe(Listener listener) = 0;
};

} // namespace hawthornslip
