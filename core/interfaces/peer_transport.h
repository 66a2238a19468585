#pragma once

#include "core/ids.h"

#include <functional>
#include <string>

namespace hawthornslip {

/** Unreliable messages between nodes: may be lost, duplicated, delayed or reordered. */
class PeerTransport
{
public:
    using Receiver = std::function<void(const std::string &bytes)>;

    virtual ~PeerTransport() = default;

    /** Sets the receiver, which runs on the transport's thread; call before start(). */
    virtual void setReceiver(Receiver receiver) = 0;

    /** Sends @p bytes to @p to without blocking; drops them if the peer cannot accept them. */
    virtual void send(const NodeId &to, std::string bytes) = 0;

    /** Closes the connection to a node that has left. */
    virtual void disconnect(const NodeId &node) = 0;
};

} // namespace hawthornslip
