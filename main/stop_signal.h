#pragma once

#include <csignal>

namespace hawthornslip {

/**
 * Waits for SIGTERM or SIGINT. Blocks both in the calling thread and in all threads started
 * afterwards, so that the signal arrives only here.
 */
class StopSignal
{
public:
    StopSignal();

    /** Returns at the first signal. */
    void wait() const;

private:
    sigset_t m_signals;
};

} // namespace hawthornslip
