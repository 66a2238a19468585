#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornslip {

/** Receives messages about usage from other nodes. */
class PeerUsage
{
public:
    virtual ~PeerUsage() = default;

    /** Handles a message of @p node. @param boot random, new with each start of that node. */
    virtual void onPeerUsage(const NodeId &node, std::uint64_t boot, const std::string &bytes) = 0;
};

/** Carries messages about usage between nodes; they may be lost, doubled or late. */
class UsageTransport
{
public:
    virtual ~UsageTransport() = default;

    /** Sets the receiver of messages. @param usage null for none; must outlive its use. */
    virtual void setUsage(PeerUsage *usage) = 0;
    /** Sends a message; it should fit into a datagram. */
    virtual void sendUsage(const NodeId &to, const std::string &bytes) = 0;
    /** @return the number of this start, as the others get it with the messages. */
    virtual std::uint64_t boot() const = 0;
    /** @return the addresses of all other nodes that this node hears. */
    virtual std::vector<std::string> livePeers() const = 0;
};

} // namespace hawthornslip
