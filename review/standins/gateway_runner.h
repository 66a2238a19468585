#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace hawthornslip::review {

/** One gateway process, started with the command of the deploy file. */
class GatewayRunner
{
public:
    /**
     * @param folder a temporary folder for its settings and its output.
     * @param index distinguishes the gateways of a script.
     * @param storePort port of the store on loopback.
     */
    GatewayRunner(std::string folder, std::size_t index, std::uint16_t storePort);
    GatewayRunner(const GatewayRunner &) = delete;
    GatewayRunner &operator=(const GatewayRunner &) = delete;
    /** Ends the process. */
    ~GatewayRunner();

    /** Starts the process. @return false when it cannot be started. */
    bool start();
    /** @return true while the process runs. */
    bool isRunning();
    void signal(int number) const;

    /** @return the port for callers. */
    std::uint16_t callers() const { return m_callers; }
    /** @return the port for readiness probes. */
    std::uint16_t readiness() const { return m_readiness; }
    /** @return the name in records. */
    std::string name() const;

private:
    void writeSettings() const;

    std::string m_folder;
    std::size_t m_index;
    std::uint16_t m_store;
    std::uint16_t m_callers;
    std::uint16_t m_readiness;
    std::uint16_t m_metrics;
    std::uint16_t m_peers;
    pid_t m_pid = 0;
};

/** Closes what a new process has from its parent, such as the sockets that stand-ins listen on. */
void closeInherited();

/** @return a port on loopback that nobody listens on. */
std::uint16_t freePort();

} // namespace hawthornslip::review
