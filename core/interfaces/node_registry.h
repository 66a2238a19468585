#pragma once

#include <functional>
#include <string>

namespace hawthornslip {

/** The node list in the platform's object store. Callbacks run on the event loop. */
class NodeRegistry
{
public:
    virtual ~NodeRegistry() = default;

    /**
     * Adds this node to the list.
     *
     * @param address `ip:port` on which this node receives messages from other nodes.
     * @param done called with true when the store holds the entry.
     */
    virtual void announce(const std::string &address, std::function<void(bool)> done) = 0;

    /** Deletes the entry of a node that has permanently left. */
    virtual void deregister(const std::string &address) = 0;
};

} // namespace hawthornslip
