#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornslip {

/** The bytes of a streamed answer on their way to the caller. */
class AnswerOutput
{
public:
    /** @param maxBytes bytes kept for a repeated idempotency key; 0 keeps nothing. */
    void setRecordLimit(std::size_t maxBytes) { m_recordLimit = maxBytes; }

    /** Appends a part of the answer. */
    void append(std::string_view bytes);

    /** Appends bytes that are no part of the answer. */
    void appendUnrecorded(std::string_view bytes) { m_pending += bytes; }

    /** Writes at most @p size bytes to @p buffer. @return the number of bytes written. */
    std::size_t take(char *buffer, std::size_t size);

    /** Drops what was not yet taken. */
    void drop();

    bool empty() const { return m_pendingOffset == m_pending.size(); }

    /** @return the number of bytes of the answer so far. */
    std::size_t totalBytes() const { return m_totalBytes; }

    /** @return the whole answer so far, or nothing when it is larger than the bound. */
    const std::string &recorded() const { return m_recorded; }

private:
    std::string m_pending;
    std::size_t m_pendingOffset = 0;
    std::size_t m_totalBytes = 0;
    std::size_t m_recordLimit = 0;
    std::string m_recorded;
};

} // namespace hawthornslip
