#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornslip {

/** Buffers a streamed answer until the caller reads it, and optionally records it. */
class AnswerOutput
{
public:
    /**
     * Sets how much of the answer is recorded for requests that repeat its idempotency key.
     *
     * @param maxBytes a larger answer is not recorded; 0 records nothing.
     */
    void setRecordLimit(std::size_t maxBytes) { m_recordLimit = maxBytes; }

    /** Appends bytes of the answer; they are counted and recorded. */
    void append(std::string_view bytes);

    /** Appends bytes that do not belong to the answer, such as keep-alive comments and errors. */
    void appendUnrecorded(std::string_view bytes) { m_pending += bytes; }

    /** Moves at most @p size buffered bytes to @p buffer. @return the number of bytes written. */
    std::size_t take(char *buffer, std::size_t size);

    /** Discards the buffered bytes. */
    void drop();

    bool empty() const { return m_pendingOffset == m_pending.size(); }

    /** @return the number of answer bytes appended so far. */
    std::size_t totalBytes() const { return m_totalBytes; }

    /** @return the answer so far, or an empty string when it exceeds the record limit. */
    const std::string &recorded() const { return m_recorded; }

private:
    std::string m_pending;
    std::size_t m_pendingOffset = 0;
    std::size_t m_totalBytes = 0;
    std::size_t m_recordLimit = 0;
    std::string m_recorded;
};

} // namespace hawthornslip
