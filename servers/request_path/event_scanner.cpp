#include "servers/request_path/event_scanner.h"

#include <charconv>

namespace hawthornslip {

namespace {

class EventScanner
{
public:
    explicit EventScanner(std::string_view text)
        : m_text(text)
    {}

    EventFields scan()
    {
        bool balanced = true;
        bool closed = false;
        while (m_position < m_text.size() && balanced) {
            const char it = m_text[m_position];
            if (it == '"') {
                balanced = m_depth > 0 && scanString();
                continue;
            }
            if (it == '{' || it == '[') {
                balanced = !closed && (m_depth > 0 || it == '{');
                ++m_depth;
            } else if (it == '}' || it == ']') {
                balanced = m_depth > 0;
                closed = --m_depth == 0;
            } else if ((it >= '0' && it <= '9') || it == '-') {
                scanNumber();
                continue;
            }
            ++m_position;
        }
        m_fields.valid = balanced && closed;
        return m_fields;
    }

private:
    bool scanString()
    {
        const std::size_t start = ++m_position;
        while (m_position < m_text.size() && m_text[m_position] != '"')
            m_position += m_text[m_position] == '\\' ? 2 : 1;
        if (m_position >= m_text.size())
            return false;
        const auto value = m_text.substr(start, m_position - start);
        ++m_position;
        while (m_position < m_text.size() &&
               (m_text[m_position] == ' ' || m_text[m_position] == '\t'))
            ++m_position;
        if (m_position < m_text.size() && m_text[m_position] == ':')
            setKey(value);
        else
            readStringValue(value);
        return true;
    }

    void setKey(std::string_view name)
    {
        m_key = name;
        if (m_depth == 1)
            m_topKey = name;
    }

    void readStringValue(std::string_view value)
    {
        if (m_depth == 1 && m_key == "id") {
            m_fields.id = value;
        } else if (m_topKey == "choices") {
            // Text arrives as chat content, as plain text, or as the arguments of a tool call.
            if (m_key == "content" || m_key == "text" || m_key == "reasoning_content" ||
                m_key == "arguments")
                m_fields.hasToken = m_fields.hasToken || !value.empty();
            else if (m_key == "finish_reason")
                m_fields.finished = true;
        }
    }

    void scanNumber()
    {
        const std::size_t start = m_position;
        constexpr std::string_view kNumberCharacters = "+-.eE0123456789";
        while (m_position < m_text.size() &&
               kNumberCharacters.find(m_text[m_position]) != std::string_view::npos)
            ++m_position;
        if (m_topKey != "usage" || m_key != "completion_tokens")
            return;
        std::uint32_t n = 0;
        const auto result = std::from_chars(m_text.data() + start, m_text.data() + m_position, n);
        if (result.ec == std::errc() && result.ptr == m_text.data() + m_position)
            m_fields.completionTokens = n;
    }

    std::string_view m_text;
    std::size_t m_position = 0;
    int m_depth = 0;
    std::string_view m_key;
    std::string_view m_topKey;
    EventFields m_fields;
};

} // namespace

EventFields scanEvent(std::string_view json)
{
    return EventScanner(json).scan();
}

} // namespace hawthornslip
