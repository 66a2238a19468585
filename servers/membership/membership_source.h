#pragma once

#include "core/ids.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace hawthornslip {

/** A live node as this node sees it. */
struct LiveNode
{
    NodeId node;
    std::uint64_t incarnation = 0;
    FailureDomain domain;
    /** A leaving node finishes its work and takes no ownership. */
    bool leaving = false;

    bool operator==(const LiveNode &) const = default;
};

/** Which nodes are live. All calls run on the control thread. */
class MembershipSource
{
public:
    using Listener = std::function<void()>;

    virtual ~MembershipSource() = default;

    /** @return the live nodes with this one, sorted by id. */
    virtual const std::vector<LiveNode> &liveNodes() const = 0;

    /** @return the live nodes that may own groups and claim shards, sorted by id. */
    virtual const std::vector<NodeId> &ownerCandidates() const = 0;

    /** Adds a function that is called after each change of the live nodes. */
    virtual void subscribe(Listener listener) = 0;
};

} // namespace hawthornslip
