#pragma once

#include "bench/node_process.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hawthornslip::bench {

/** Where a node listens and where it is. */
struct NodePlace
{
    std::string domain;
    std::uint16_t callerPort = 0;
    std::uint16_t operatorPort = 0;
    std::uint16_t peerPort = 0;
};

/** What all nodes of a run share. */
struct NodeGroupSpec
{
    std::string binary;
    /** Folder for settings and logs. */
    std::string folder;
    std::string platformUrl;
    std::string configFile;
    /** Scheduling policy to set; empty leaves the default. */
    std::string policy;
    std::vector<NodePlace> places;
};

/** @return @p count places on free ports of the kernel, over @p domains in turn. */
std::vector<NodePlace> takePlaces(std::size_t count, const std::vector<std::string> &domains);

/** The nodes of a run as processes. */
class NodeGroup
{
public:
    /** Writes the settings and starts all nodes. */
    explicit NodeGroup(NodeGroupSpec spec);

    /** Waits until each node is ready. @return false at the timeout or when one ended. */
    bool waitReady(Duration timeout);

    /**
     * Waits until each node reports a configuration in force. Readiness alone is not enough: nodes
     * were seen to be ready on an empty store before their first configuration.
     *
     * @return false at the timeout.
     */
    bool waitConfigured(Duration timeout) const;

    /** Stops all nodes by SIGTERM. @return false when one does not exit with 0. */
    bool stopAll(Duration timeout);

    NodeProcess &node(std::size_t index) { return *m_nodes.at(index); }
    /** Starts the node @p index again, as the platform replaces a VM. */
    void restart(std::size_t index);
    std::size_t size() const { return m_nodes.size(); }
    const NodePlace &place(std::size_t index) const { return m_spec.places.at(index); }
    /** @return the processor time of all nodes that have ended. */
    double cpuSeconds() const;
    /** @return the largest resident memory of any node in bytes. */
    std::uint64_t peakBytes() const;
    /** @return true when the node answers that it takes requests. */
    bool ready(std::size_t index) const;

private:
    /** @return the generation that the node reports to operators, 0 when it has none. */
    std::uint64_t generation(std::size_t index) const;
    std::string settingsFile(std::size_t index) const;
    void writeSettings(std::size_t index);
    void start(std::size_t index);

    NodeGroupSpec m_spec;
    std::vector<std::pair<std::string, std::string>> m_curveKeys;
    std::vector<std::unique_ptr<NodeProcess>> m_nodes;
    double m_endedCpuSeconds = 0;
};

} // namespace hawthornslip::bench
