#pragma once

#include "core/interfaces/clock.h"
#include "core/interfaces/http_server.h"

#include <functional>
#include <memory>
#include <semaphore>
#include <thread>

namespace hawthornslip::matrix {

/**
 * Runs blocking code of a request on its own thread, of which exactly one, or the harness, runs at
 * a time. A run is therefore the same each time, although the request path blocks.
 */
class SimThread
{
public:
    /** Thrown out of a wait when the node of the thread crashed. */
    struct Crashed
    {};

    SimThread(const Clock &clock, std::function<void(SimThread &)> body);
    /** The body must have ended. */
    ~SimThread();

    SimThread(const SimThread &) = delete;
    SimThread &operator=(const SimThread &) = delete;

    /** For the body: gives way until wake() or @p atMost has passed. */
    void wait(Duration atMost);

    /** For the body: lets the harness run what is due now. */
    void giveWay();

    /** Ends the wait in progress or the next one. */
    void wake() { m_woken = true; }

    /** For the harness: whether resume() would do something at @p now. */
    bool due(TimePoint now) const { return !m_ended && (m_woken || now >= m_wakeAt); }

    /** For the harness: lets the body go on until it gives way or ends. */
    void resume();

    /** For the harness: ends the body by the exception Crashed. */
    void kill();

    bool ended() const { return m_ended; }
    TimePoint wakeAt() const { return m_wakeAt; }

private:
    void yield();

    const Clock &m_clock;
    std::binary_semaphore m_go{0};
    std::binary_semaphore m_back{0};
    bool m_woken = true;
    bool m_killed = false;
    bool m_ended = false;
    TimePoint m_wakeAt;
    std::thread m_thread;
};

/** The connection of a caller whose request runs on a SimThread. */
class SimClientLink : public HttpClientConnection
{
public:
    explicit SimClientLink(SimThread &thread)
        : m_thread(&thread)
    {}

    bool wait(Duration atMost) override
    {
        m_thread->wait(atMost);
        return !left;
    }

    void wake() override
    {
        if (m_thread != nullptr)
            m_thread->wake();
    }

    /** Called when the thread ends; later calls of wake() do nothing. */
    void detach() { m_thread = nullptr; }

    /** The caller closed its connection. */
    bool left = false;

private:
    SimThread *m_thread;
};

} // namespace hawthornslip::matrix
