#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornslip {

/** Splits a body of server-sent events into events. */
class EventStreamParser
{
public:
    /** An event; @c raw is valid until the next feed(), @c data until the next feed() or next(). */
    struct Event
    {
        /** The event with its terminating blank line. */
        std::string_view raw;
        /** The data lines joined by line feeds; empty if there are none, as in a comment. */
        std::string_view data;
    };

    /** Maximum size of an event in bytes. */
    static constexpr std::size_t kMaxEventBytes = 1 << 20;

    /** Appends bytes of the body. */
    void feed(std::string_view bytes);

    /** @return the next complete event, or nothing. */
    std::optional<Event> next();

    /** @return whether the bytes not yet returned exceed kMaxEventBytes. */
    bool overflowed() const { return m_buffer.size() - m_start > kMaxEventBytes; }

private:
    std::string_view dataOf(std::string_view raw);

    std::string m_buffer;
    std::size_t m_start = 0;
    /** Offset at which the search for the next line end continues. */
    std::size_t m_searchStart = 0;
    std::string m_joined;
};

} // namespace hawthornslip
