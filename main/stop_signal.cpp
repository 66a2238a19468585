#include "main/stop_signal.h"

namespace hawthornslip {

StopSignal::StopSignal()
    : m_signals()
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    // Writing to a connection that the client has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::wait() const
{
    int received = 0;
    sigwait(&m_signals, &received);
}

} // namespace hawthornslip
