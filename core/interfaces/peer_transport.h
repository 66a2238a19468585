#pragma once

#include "core/ids.h"

#include <functional>
#include <string>

namespace hawthornslip {

/** Carries datagram-like messages between nodes: each may be lost, doubled, late or out of order.
 */
class PeerTransport
{
public:
    using Receiver = std::function<void(const std::string &bytes)>;

    virtual ~PeerTransport() = default;

    /** Sets the function that gets each message, on the transport's thread; call before start(). */
    virtual void setReceiver(Receiver receiver) = 0;

    /** Sends @p bytes to @p to; never blocks, and drops the message when the peer cannot take it.
     */
    virtual void send(const NodeId &to, std::string bytes) = 0;

    /** Closes the connection to a node that left. */
    virtual void disconnect(const NodeId &node) = 0;
};

} // namespace hawthornslip
