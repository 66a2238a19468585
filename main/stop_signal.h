#pragma once

#include <csignal>

namespace hawthornslip {

/**
 * Waits for SIGTERM or SIGINT; SIGHUP is only logged. Blocks them in the calling thread and in all
 * threads that it starts afterwards, so that only wait() receives them.
 */
class StopSignal
{
public:
    StopSignal();

    /** Returns after the first SIGTERM or SIGINT. */
    void wait() const;

private:
    sigset_t m_signals;
};

} // namespace hawthornslip
