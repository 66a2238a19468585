#include "tests/matrix/sim_thread.h"

#include <exception>
#include <utility>

namespace hawthornslip::matrix {

SimThread::SimThread(const Clock &clock, std::function<void(SimThread &)> body)
    : m_clock(clock)
    , m_thread([this, body = std::move(body)] {
        m_go.acquire();
        try {
            if (!m_killed)
                body(*this);
        } catch (const Crashed &) {
            // The node is gone; nothing of the request is left.
        }
        m_ended = true;
        m_back.release();
    })
{}

SimThread::~SimThread()
{
    if (!m_ended)
        kill();
    m_thread.join();
}

void SimThread::wait(Duration atMost)
{
    // Destructors that wait while the stack unwinds must not throw.
    if (m_killed && std::uncaught_exceptions() > 0)
        return;
    if (!m_woken) {
        m_wakeAt = m_clock.now() + atMost;
        yield();
    }
    m_woken = false;
}

void SimThread::giveWay()
{
    const bool woken = std::exchange(m_woken, true);
    yield();
    m_woken = woken;
}

void SimThread::resume()
{
    m_go.release();
    m_back.acquire();
}

void SimThread::kill()
{
    m_killed = true;
    while (!m_ended)
        resume();
}

void SimThread::yield()
{
    m_back.release();
    m_go.acquire();
    if (m_killed && std::uncaught_exceptions() == 0)
        throw Crashed{};
}

} // namespace hawthornslip::matrix
