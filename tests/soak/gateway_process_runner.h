#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace hawthornslip::soak {

/** The ports of one gateway on loopback. */
struct GatewayPorts
{
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t metrics = 0;
    std::uint16_t peers = 0;
    /** The gateway's own way to the store, through a proxy. */
    std::uint16_t store = 0;
};

/** Starts, signals and watches one real gateway process. */
class GatewayProcessRunner
{
public:
    /**
     * @param folder for its settings and its log.
     * @param moreSettings is appended to the settings file.
     */
    GatewayProcessRunner(std::string binary, std::string folder, std::size_t index,
                         GatewayPorts ports, std::string moreSettings = "");
    ~GatewayProcessRunner();

    /** Starts the process. @return false when it could not be started. */
    bool start();

    /** Sends a signal to the process, if it runs. */
    void signal(int number);

    /** Writes the settings anew with another log level; the process finds that by itself. */
    void changeLogLevel();

    /** @return true while the process runs; takes note when it has ended. */
    bool isRunning();

    /** @return the id of the process, 0 when it does not run. */
    pid_t pid() const { return m_pid; }
    /** @return the status of the last end as wait() gives it. */
    int lastStatus() const { return m_lastStatus; }
    const GatewayPorts &ports() const { return m_ports; }
    /** @return the file that all its processes append their lines to. */
    std::string logPath() const;

private:
    void writeSettings() const;

    std::string m_binary;
    std::string m_folder;
    std::size_t m_index;
    GatewayPorts m_ports;
    std::string m_moreSettings;
    bool m_isVerbose = false;
    pid_t m_pid = 0;
    int m_lastStatus = 0;
};

/** @return a port on loopback that no other process gets while this one runs. */
std::uint16_t reservePort();

} // namespace hawthornslip::soak
