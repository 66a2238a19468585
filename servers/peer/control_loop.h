#pragma once

#include "core/interfaces/clock.h"
#include "core/time.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace hawthornslip {

/**
 * Runs tasks and timers one after another on one thread. The decision objects of the control side
 * belong to this thread, so that they need no locks.
 */
class ControlLoop
{
public:
    using Task = std::function<void()>;

    /** @param clock decides when timers are due. */
    explicit ControlLoop(const Clock &clock);
    /** Stops the loop and joins its thread. */
    ~ControlLoop();

    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    /** Starts the thread. */
    void start();

    /** Ends the thread after the task in progress; tasks that wait are dropped. */
    void stop();

    /** Queues @p task; may be called from any thread. */
    void post(Task task);

    /** Queues @p task and waits until it has run; not to be called from the loop's own thread. */
    void run(Task task);

    /** Runs @p task once after @p delay; may be called from any thread. */
    void after(Duration delay, Task task);

    /** Runs @p task each @p interval until the loop stops. */
    void every(Duration interval, Task task);

    /**
     * Runs the tasks and timers that are due now on the calling thread. For a loop without a
     * thread, which a test or an embedding program steps by itself.
     *
     * @return the number of tasks that ran.
     */
    std::size_t runDue();

    /** @return when the next timer is due, or nothing when none is set. */
    std::optional<TimePoint> nextTimer() const;

    /** @return true on the loop's own thread. */
    bool onLoopThread() const;

    /** @return the time by the loop's clock. */
    TimePoint now() const { return m_clock.now(); }

private:
    void runLoop();
    void takeDue(std::vector<Task> &due);

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<Task> m_tasks;
    std::multimap<TimePoint, Task> m_timers;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace hawthornslip
