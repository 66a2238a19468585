#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornslip {

/** Cuts a body of server-sent events into events. */
class EventStreamParser
{
public:
    /** An event; the views are valid until the next feed(). */
    struct Event
    {
        /** The whole event with its blank line. */
        std::string_view raw;
        /** The data lines joined by a line feed; empty for comments. */
        std::string_view data;
    };

    /** Longest event accepted. */
    static constexpr std::size_t kMaxEventBytes = 1 << 20;

    /** Appends bytes of the body. */
    void feed(std::string_view bytes);

    /** @return the next whole event, or nothing. */
    std::optional<Event> next();

    /** @return whether an unfinished event is longer than kMaxEventBytes. */
    bool overflowed() const { return m_buffer.size() - m_start > kMaxEventBytes; }

private:
    std::string_view dataOf(std::string_view raw);

    std::string m_buffer;
    std::size_t m_start = 0;
    /** Where the search for the blank line goes on. */
    std::size_t m_searchStart = 0;
    std::string m_joined;
};

} // namespace hawthornslip
