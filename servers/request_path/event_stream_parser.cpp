#include "servers/request_path/event_stream_parser.h"

namespace hawthornslip {

void EventStreamParser::feed(std::string_view bytes)
{
    if (m_start > 0) {
        m_buffer.erase(0, m_start);
        m_searchStart -= m_start;
        m_start = 0;
    }
    m_buffer.append(bytes);
}

std::optional<EventStreamParser::Event> EventStreamParser::next()
{
    while (true) {
        const auto end = m_buffer.find('\n', m_searchStart);
        if (end == std::string::npos) {
            m_searchStart = m_buffer.size();
            return std::nullopt;
        }
        m_searchStart = end + 1;
        const auto text = std::string_view(m_buffer).substr(m_start, end + 1 - m_start);
        if (text == "\n" || text == "\r\n") {
            m_start = m_searchStart; // skip a blank line between events
            continue;
        }
        if (text.ends_with("\n\n") || text.ends_with("\n\r\n")) {
            m_start = m_searchStart;
            return Event{text, dataOf(text)};
        }
    }
}

std::string_view EventStreamParser::dataOf(std::string_view raw)
{
    std::string_view first;
    std::size_t lines = 0;
    while (!raw.empty()) {
        const auto end = raw.find('\n');
        auto line = raw.substr(0, end);
        raw.remove_prefix(end == std::string_view::npos ? raw.size() : end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.starts_with("data:"))
            continue;
        line.remove_prefix(std::string_view("data:").size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (++lines == 1) {
            first = line;
            continue;
        }
        if (lines == 2)
            m_joined = first;
        m_joined += '\n';
        m_joined += line;
    }
    return lines > 1 ? std::string_view(m_joined) : first;
}

} // namespace hawthornslip
