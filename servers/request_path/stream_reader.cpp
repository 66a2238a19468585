#include "servers/request_path/stream_reader.h"

#include "servers/request_path/event_scanner.h"

#include <utility>

namespace hawthornslip {

void StreamReader::begin(std::string id, std::uint32_t tokensBefore)
{
    m_id = std::move(id);
    m_tokensBefore = tokensBefore;
}

StreamReader::Part StreamReader::read(std::string_view bytes, bool stopAtMismatch)
{
    Part part;
    m_events.feed(bytes);
    while (!part.done && !part.broken) {
        const auto event = m_events.next();
        if (!event)
            break;
        // Comments of the engine are not passed on; the router sends its own.
        if (!event->data.empty())
            take(*event, stopAtMismatch, part);
    }
    part.broken = part.broken || m_events.overflowed();
    part.started = m_started;
    return part;
}

void StreamReader::take(const EventStream::Event &event, bool stopAtMismatch, Part &part)
{
    if (event.data == "[DONE]") {
        part.broken = m_missing;
        part.done = !m_missing;
        if (part.done) {
            part.text += std::exchange(m_preamble, {});
            part.text += event.raw;
        }
        return;
    }
    const auto facts = scanEvent(event.data);
    if (!facts.valid || facts.id != m_id) {
        ++part.mismatches;
        ++m_mismatches;
        part.broken = stopAtMismatch;
        return;
    }
    // A dropped event may have stood in for one of ours, which the count of tokens shows.
    if (facts.completionTokens && m_mismatches > 0 &&
        *facts.completionTokens > m_tokensBefore + m_tokens + (facts.hasToken ? 1 : 0))
        m_missing = true;
    if (!m_started && !facts.hasToken && !facts.finished) {
        // The caller already has the opening events of a stream that resumes.
        if (m_tokensBefore == 0)
            m_preamble += event.raw;
        return;
    }
    m_started = true;
    part.text += std::exchange(m_preamble, {});
    part.text += event.raw;
    if (facts.hasToken) {
        ++m_tokens;
        ++part.tokens;
    }
}

} // namespace hawthornslip
