#include "tests/standins/crashable_host.h"

namespace hawthornslip::standin {

CrashableHost::CrashableHost(HttpHost::Handler handler, std::function<void()> abort)
    : m_abort(std::move(abort))
    , m_http(std::move(handler))
{}

CrashableHost::~CrashableHost()
{
    {
        const std::lock_guard lock(m_mutex);
        m_closing = true;
    }
    m_changed.notify_all();
    if (m_crash.joinable())
        m_crash.join();
    stop();
}

bool CrashableHost::start(std::uint16_t port)
{
    const std::lock_guard lock(m_portMutex);
    return m_http.start(port);
}

void CrashableHost::stop()
{
    const std::lock_guard lock(m_portMutex);
    m_abort();
    m_http.stop();
}

void CrashableHost::crash(Duration restartAfter)
{
    if (m_crashing.exchange(true))
        return;
    const std::lock_guard lock(m_mutex);
    // A thread of an earlier crash has ended, as it cleared the flag.
    if (m_crash.joinable())
        m_crash.join();
    m_crash = std::thread([this, restartAfter] { runCrash(restartAfter); });
}

void CrashableHost::runCrash(Duration restartAfter)
{
    stop();
    if (restartAfter.count() >= 0 && !waitForClosing(restartAfter))
        start();
    m_crashing = false;
}

bool CrashableHost::waitForClosing(Duration timeout)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, timeout, [this] { return m_closing; });
}

} // namespace hawthornslip::standin
