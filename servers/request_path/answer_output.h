#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornslip {

/** The bytes of a streamed answer on their way to the caller. */
class AnswerOutput
{
public:
    /** @param recordBytes bytes kept for a repeated idempotency key; 0 keeps nothing. */
    void recordUpTo(std::size_t recordBytes) { m_recordBytes = recordBytes; }

    /** Appends a part of the answer. */
    void append(std::string_view bytes);

    /** Appends bytes that are no part of the answer. */
    void appendAside(std::string_view bytes) { m_bytes += bytes; }

    /** Writes at most @p size bytes to @p room. @return the number of bytes written. */
    std::size_t take(char *room, std::size_t size);

    /** Drops what was not yet taken. */
    void drop();

    bool empty() const { return m_taken == m_bytes.size(); }

    /** @return the number of bytes of the answer so far. */
    std::size_t total() const { return m_total; }

    /** @return the whole answer so far, or nothing when it is larger than the bound. */
    const std::string &recorded() const { return m_recorded; }

private:
    std::string m_bytes;
    std::size_t m_taken = 0;
    std::size_t m_total = 0;
    std::size_t m_recordBytes = 0;
    std::string m_recorded;
};

} // namespace hawthornslip
