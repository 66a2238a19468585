#include "main/stop_signal.h"

#include "core/logger.h"

namespace hawthornslip {

StopSignal::StopSignal()
    : m_signals()
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    // By default it ends the process at once and cuts all requests.
    sigaddset(&m_signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    // Writing to a connection that the client has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::wait() const
{
    int received = SIGHUP;
    while (received == SIGHUP) {
        sigwait(&m_signals, &received);
        if (received == SIGHUP)
            logEvent(LogLevel::Warning, "reload_unsupported");
    }
}

} // namespace hawthornslip
