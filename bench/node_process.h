#pragma once

#include "core/time.h"

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace hawthornslip::bench {

/** The product binary running as a process of its own. */
class NodeProcess
{
public:
    /** Starts `binary serve --settings file` with its output in @p logFile. */
    NodeProcess(const std::string &binary, const std::string &settingsFile,
                const std::string &logFile);
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    /** Sends a signal, if the process still runs. */
    void signal(int number);

    /** Ends the process by SIGKILL, as a fault. */
    void kill();

    /** @return true while the process runs. */
    bool running();

    /** Waits for the end. @return false when it still runs at the timeout. */
    bool wait(Duration timeout);

    /** @return the exit status, or 128 plus the signal that ended it; -1 while it runs. */
    int exitStatus() const { return m_status; }
    /** @return true when kill() ended it. */
    bool killed() const { return m_killed; }
    /** @return the processor time that it used, known after its end. */
    double cpuSeconds() const { return m_cpuSeconds; }
    /** @return the largest resident memory in bytes, known after its end. */
    std::uint64_t peakBytes() const { return m_peakBytes; }

private:
    bool reap(bool block);

    pid_t m_pid = -1;
    int m_status = -1;
    bool m_killed = false;
    double m_cpuSeconds = 0;
    std::uint64_t m_peakBytes = 0;
};

} // namespace hawthornslip::bench
