#include "servers/request_path/stream_reader.h"

#include "servers/request_path/event_scanner.h"

#include <utility>

namespace hawthornslip {

void StreamReader::begin(std::string id, std::uint32_t tokensBefore)
{
    m_id = std::move(id);
    m_tokensBefore = tokensBefore;
}

StreamReader::ReadResult StreamReader::read(std::string_view bytes, bool stopAtMismatch)
{
    ReadResult result;
    m_events.feed(bytes);
    while (!result.done && !result.broken) {
        const auto event = m_events.next();
        if (!event)
            break;
        // The engine's comments are not relayed; the router sends its own.
        if (!event->data.empty())
            processEvent(*event, stopAtMismatch, result);
    }
    result.broken = result.broken || m_events.overflowed();
    result.started = m_started;
    return result;
}

void StreamReader::processEvent(const EventStreamParser::Event &event, bool stopAtMismatch,
                                ReadResult &result)
{
    if (event.data == "[DONE]") {
        result.broken = m_tokensMissing;
        result.done = !m_tokensMissing;
        if (result.done) {
            result.text += std::exchange(m_preamble, {});
            result.text += event.raw;
        }
        return;
    }
    const auto fields = scanEvent(event.data);
    if (!fields.valid || fields.id != m_id) {
        ++result.mismatches;
        ++m_mismatches;
        result.broken = stopAtMismatch;
        return;
    }
    // A dropped event may have replaced one of this request; the engine's token count then exceeds
    // the number of tokens received.
    if (fields.completionTokens && m_mismatches > 0 &&
        *fields.completionTokens > m_tokensBefore + m_tokens + (fields.hasToken ? 1 : 0))
        m_tokensMissing = true;
    if (!m_started && !fields.hasToken && !fields.finished) {
        // The caller has already received the opening events of a resumed stream.
        if (m_tokensBefore == 0)
            m_preamble += event.raw;
        return;
    }
    m_started = true;
    result.text += std::exchange(m_preamble, {});
    result.text += event.raw;
    if (fields.hasToken) {
        ++m_tokens;
        ++result.tokens;
    }
}

} // namespace hawthornslip
