#pragma once

#include <functional>
#include <string>

namespace hawthornslip {

/** The list of nodes in the platform's store. Callbacks run on the event loop. */
class NodeRegistry
{
public:
    virtual ~NodeRegistry() = default;

    /**
     * Adds this node.
     *
     * @param address `ip:port` that it receives messages of other nodes on.
     * @param done true when the store holds the entry now.
     */
    virtual void announce(const std::string &address, std::function<void(bool)> done) = 0;

    /** Takes the entry of a node out that is gone for good. */
    virtual void deregister(const std::string &address) = 0;
};

} // namespace hawthornslip
