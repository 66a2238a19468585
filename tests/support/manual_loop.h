#pragma once

#include "core/interfaces/event_loop.h"

#include <map>
#include <utility>

namespace hawthornslip::test {

/** An event loop whose time a test moves. */
class ManualLoop : public EventLoop
{
public:
    TimePoint now() const override { return m_now; }
    UnixMillis wallNow() const override { return toMillis(m_now.time_since_epoch()); }

    TimerId after(Duration delay, Task task) override
    {
        const TimerId id = ++m_last;
        m_queue.emplace(std::pair(m_now + std::max(delay, Duration(0)), id), std::move(task));
        return id;
    }

    void cancel(TimerId timer) override
    {
        std::erase_if(m_queue, [timer](const auto &it) { return it.first.second == timer; });
    }

    /** Moves the time forward by @p span and runs all that is due on the way. */
    void advance(Duration span)
    {
        const TimePoint end = m_now + span;
        while (!m_queue.empty() && m_queue.begin()->first.first <= end) {
            auto node = m_queue.extract(m_queue.begin());
            m_now = std::max(m_now, node.key().first);
            node.mapped()();
        }
        m_now = end;
    }

    /** Moves the time without running anything, as while a process is suspended. */
    void suspend(Duration span) { m_now += span; }

private:
    TimePoint m_now{seconds(1000)};
    TimerId m_last = 0;
    std::map<std::pair<TimePoint, TimerId>, Task> m_queue;
};

} // namespace hawthornslip::test
