#include "drivers/asio/asio_event_loop.h"

#include "core/logger.h"

#include <time.h>

#include <algorithm>
#include <exception>

namespace hawthornslip {

AsioEventLoop::AsioEventLoop()
    : m_context(1)
    , m_wakeUp(m_context)
{}

TimePoint AsioEventLoop::now() const
{
    constexpr std::int64_t kNanosPerMicro = 1000;
    constexpr std::int64_t kMicrosPerSecond = 1'000'000;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(Duration(time.tv_sec * kMicrosPerSecond + time.tv_nsec / kNanosPerMicro));
}

UnixMillis AsioEventLoop::wallNow() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

TimerId AsioEventLoop::after(Duration delay, Task task)
{
    const TimerId id = ++m_lastTimer;
    const TimePoint at = now() + std::max(delay, Duration(0));
    m_queue.emplace(std::pair(at, id), std::move(task));
    m_due.emplace(id, at);
    if (at < m_armed)
        arm();
    return id;
}

void AsioEventLoop::cancel(TimerId timer)
{
    const auto it = m_due.find(timer);
    if (it == m_due.end())
        return;
    m_queue.erase(std::pair(it->second, timer));
    m_due.erase(it);
}

void AsioEventLoop::run()
{
    const auto work = boost::asio::make_work_guard(m_context);
    while (!m_stopped) {
        try {
            m_context.run();
        } catch (const std::exception &error) {
            onUnexpectedError(error.what());
        }
    }
}

void AsioEventLoop::stop()
{
    m_stopped = true;
    m_context.stop();
}

void AsioEventLoop::onUnexpectedError(std::string_view error)
{
    logEvent(LogLevel::Error, "unexpected_error", {{"error", error}});
}

void AsioEventLoop::arm()
{
    if (m_queue.empty()) {
        m_armed = TimePoint::max();
        return;
    }
    m_armed = m_queue.begin()->first.first;
    m_wakeUp.expires_after(std::max(m_armed - now(), Duration(0)));
    m_wakeUp.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            runDue();
    });
}

void AsioEventLoop::runDue()
{
    // Timers that tasks add now stay for the next round, so that none can hold the loop.
    const TimePoint time = now();
    const TimerId last = m_lastTimer;
    while (!m_queue.empty() && m_queue.begin()->first.first <= time &&
           m_queue.begin()->first.second <= last) {
        auto node = m_queue.extract(m_queue.begin());
        m_due.erase(node.key().second);
        try {
            node.mapped()();
        } catch (const std::exception &error) {
            onUnexpectedError(error.what());
        }
    }
    arm();
}

} // namespace hawthornslip
