#pragma once

#include "core/time.h"
#include "tests/standins/http_host.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace hawthornslip::standin {

/** A HTTP server that can crash, from any thread, and come back on the same port. */
class CrashableHost
{
public:
    /**
     * @param handler answers the requests.
     * @param abort ends what is in progress, so that no handler waits any longer.
     */
    CrashableHost(HttpHost::Handler handler, std::function<void()> abort);
    ~CrashableHost();
    CrashableHost(const CrashableHost &) = delete;
    CrashableHost &operator=(const CrashableHost &) = delete;

    /** Opens the port. @return false when it cannot be opened. */
    bool start(std::uint16_t port = 0);

    /** Cuts all connections and closes the port; returns when that is done. */
    void stop();

    /**
     * Crashes on another thread, so that a handler may call it.
     *
     * @param restartAfter time until the port opens again; negative means never.
     */
    void crash(Duration restartAfter);

    HttpHost &http() { return m_http; }
    const HttpHost &http() const { return m_http; }

private:
    void runCrash(Duration restartAfter);
    /** @return true when the object is being destroyed. */
    bool waitForClosing(Duration timeout);

    std::function<void()> m_abort;
    HttpHost m_http;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_closing = false;
    std::atomic<bool> m_crashing{false};
    std::thread m_crash;
    /** Serialises opening and closing of the port. */
    std::mutex m_portMutex;
};

} // namespace hawthornslip::standin
