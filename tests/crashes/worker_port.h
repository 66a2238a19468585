#pragma once

#include "tests/crashes/worker_process.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornslip::crashes {

/** A port with the worker processes that follow each other on it, and what is there in between. */
class WorkerPort
{
public:
    WorkerPort(const CrashRow &row, SharedLog &log, std::uint64_t seed);
    ~WorkerPort();
    WorkerPort(const WorkerPort &) = delete;
    WorkerPort &operator=(const WorkerPort &) = delete;

    /** Starts a process as the upstream @p id. */
    void start(const std::string &id);

    /** @return true once for each process that has ended. */
    bool takeEnd();

    /** Does what the row says of the port while no worker has it; call often. */
    void keep();

    std::uint16_t port() const { return m_port; }
    const std::string &id() const { return m_id; }

private:
    void openListener();
    void fillBacklog();
    void closeHeld();

    const CrashRow &m_row;
    SharedLog &m_log;
    std::uint64_t m_seed;
    std::uint16_t m_port;
    std::string m_id;
    pid_t m_pid = 0;
    int m_listener = -1;
    /** Connections that are kept open in between. */
    std::vector<int> m_held;
};

} // namespace hawthornslip::crashes
