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
 * Runs tasks and timers one after another on one thread. The objects of the control plane are used
 * on this thread only, so that they need no locks.
 */
class ControlLoop
{
public:
    using Task = std::function<void()>;

    /** @param clock the time source of the timers; must outlive the loop. */
    explicit ControlLoop(const Clock &clock);
    /** Stops the loop and joins its thread. */
    ~ControlLoop();

    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    /** Starts the thread. */
    void start();

    /** Joins the thread after the tasks already taken from the queue; the others never run. */
    void stop();

    /** Queues @p task; may be called from any thread. */
    void post(Task task);

    /** Queues @p task and waits until it has run; not to be called from the loop's own thread. */
    void run(Task task);

    /** Runs @p task once after @p delay; may be called from any thread. */
    void after(Duration delay, Task task);

    /** Runs @p task every @p interval, first after one, until the loop stops. */
    void every(Duration interval, Task task);

    /**
     * Runs the tasks and timers that are due now on the calling thread. Used instead of start(), by
     * a test or an embedding program that drives the loop itself.
     *
     * @return the number of tasks that ran.
     */
    std::size_t runDue();

    /** @return the due time of the next timer, or std::nullopt when none is set. */
    std::optional<TimePoint> nextTimer() const;

    /** @return whether the calling thread is the loop's own thread. */
    bool onLoopThread() const;

    /** @return the time by the loop's clock. */
    TimePoint now() const { return m_clock.now(); }

private:
    void runLoop();
    void collectDue(std::vector<Task> &due);

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<Task> m_tasks;
    std::multimap<TimePoint, Task> m_timers;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace hawthornslip
