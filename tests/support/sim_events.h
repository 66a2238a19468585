#pragma once

#include "tests/support/manual_clock.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace hawthornslip::test {

/** Events in virtual time; those of the same time run in the order in which they were added. */
class SimEvents
{
public:
    /** @return the clock that all nodes of a run share. */
    ManualClock &clock() { return m_clock; }

    TimePoint now() const { return m_clock.now(); }

    /** Runs @p event after @p delay. */
    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_clock.now() + delay, std::move(event));
    }

    /** @return the time of the next event, or nothing. */
    std::optional<TimePoint> next() const
    {
        if (m_events.empty())
            return std::nullopt;
        return m_events.begin()->first;
    }

    /** Moves the clock to @p time, never back. */
    void moveTo(TimePoint time)
    {
        if (time > m_clock.now())
            m_clock.advance(time - m_clock.now());
    }

    /** Runs the first event that is due. @return false when none is. */
    bool runOne()
    {
        if (m_events.empty() || m_events.begin()->first > m_clock.now())
            return false;
        auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
        return true;
    }

private:
    ManualClock m_clock;
    std::multimap<TimePoint, std::function<void()>> m_events;
};

} // namespace hawthornslip::test
