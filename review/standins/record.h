#pragma once

#include "core/interfaces/event_loop.h"

#include <fstream>
#include <string>

/** Stand-ins and tools of the review's scripts. */
namespace hawthornslip::review {

/** Writes what a script saw, a line each with the milliseconds since the start. */
class Record
{
public:
    Record(EventLoop &loop, const std::string &path);

    void line(const std::string &text);
    /** Records that a rule was broken. */
    void broken(const std::string &text);

    /** @return the number of broken rules. */
    int breaks() const { return m_breaks; }
    /** @return the time since the start. */
    Duration elapsed() const { return m_loop.now() - m_start; }
    /** @return the start, on the clock of the event loop. */
    TimePoint start() const { return m_start; }

private:
    EventLoop &m_loop;
    std::ofstream m_file;
    TimePoint m_start;
    int m_breaks = 0;
};

} // namespace hawthornslip::review
