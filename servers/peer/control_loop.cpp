#include "servers/peer/control_loop.h"

#include <algorithm>
#include <future>

namespace hawthornslip {

namespace {

// Limits the sleep, because a clock that a test advances does not wake the thread.
constexpr auto kMaxSleep = std::chrono::milliseconds(50);

} // namespace

ControlLoop::ControlLoop(const Clock &clock)
    : m_clock(clock)
{}

ControlLoop::~ControlLoop()
{
    stop();
}

void ControlLoop::start()
{
    m_thread = std::thread([this] { runLoop(); });
}

void ControlLoop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void ControlLoop::post(Task task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    m_wake.notify_one();
}

void ControlLoop::run(Task task)
{
    std::promise<void> done;
    post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

void ControlLoop::after(Duration delay, Task task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_timers.emplace(m_clock.now() + delay, std::move(task));
    }
    m_wake.notify_one();
}

void ControlLoop::every(Duration interval, Task task)
{
    after(interval, [this, interval, task = std::move(task)]() mutable {
        task();
        every(interval, std::move(task));
    });
}

bool ControlLoop::onLoopThread() const
{
    return std::this_thread::get_id() == m_thread.get_id();
}

std::size_t ControlLoop::runDue()
{
    std::vector<Task> due;
    {
        const std::lock_guard lock(m_mutex);
        collectDue(due);
    }
    for (auto &it : due)
        it();
    return due.size();
}

std::optional<TimePoint> ControlLoop::nextTimer() const
{
    const std::lock_guard lock(m_mutex);
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first;
}

void ControlLoop::collectDue(std::vector<Task> &due)
{
    due.swap(m_tasks);
    while (!m_timers.empty() && m_timers.begin()->first <= m_clock.now()) {
        due.push_back(std::move(m_timers.begin()->second));
        m_timers.erase(m_timers.begin());
    }
}

void ControlLoop::runLoop()
{
    std::vector<Task> due;
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        collectDue(due);
        if (due.empty()) {
            auto sleep = std::chrono::duration_cast<Duration>(kMaxSleep);
            if (!m_timers.empty())
                sleep = std::min(sleep, m_timers.begin()->first - m_clock.now());
            m_wake.wait_for(lock, sleep);
            continue;
        }
        lock.unlock();
        for (auto &it : due)
            it();
        due.clear();
        lock.lock();
    }
}

} // namespace hawthornslip
