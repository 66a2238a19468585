#include "servers/request_path/event_scanner.h"

#include <charconv>

namespace hawthornslip {

namespace {

class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : m_text(text)
    {}

    EventFacts run()
    {
        bool balanced = true;
        bool closed = false;
        while (m_at < m_text.size() && balanced) {
            const char it = m_text[m_at];
            if (it == '"') {
                balanced = m_depth > 0 && string();
                continue;
            }
            if (it == '{' || it == '[') {
                balanced = !closed && (m_depth > 0 || it == '{');
                ++m_depth;
            } else if (it == '}' || it == ']') {
                balanced = m_depth > 0;
                closed = --m_depth == 0;
            } else if ((it >= '0' && it <= '9') || it == '-') {
                number();
                continue;
            }
            ++m_at;
        }
        m_facts.valid = balanced && closed;
        return m_facts;
    }

private:
    bool string()
    {
        const std::size_t start = ++m_at;
        while (m_at < m_text.size() && m_text[m_at] != '"')
            m_at += m_text[m_at] == '\\' ? 2 : 1;
        if (m_at >= m_text.size())
            return false;
        const auto value = m_text.substr(start, m_at - start);
        ++m_at;
        while (m_at < m_text.size() && (m_text[m_at] == ' ' || m_text[m_at] == '\t'))
            ++m_at;
        if (m_at < m_text.size() && m_text[m_at] == ':')
            key(value);
        else
            stringValue(value);
        return true;
    }

    void key(std::string_view name)
    {
        m_key = name;
        if (m_depth == 1)
            m_topKey = name;
    }

    void stringValue(std::string_view value)
    {
        if (m_depth == 1 && m_key == "id") {
            m_facts.id = value;
        } else if (m_topKey == "choices") {
            // Text arrives as chat content, as plain text, or as the arguments of a tool call.
            if (m_key == "content" || m_key == "text" || m_key == "reasoning_content" ||
                m_key == "arguments")
                m_facts.hasToken = m_facts.hasToken || !value.empty();
            else if (m_key == "finish_reason")
                m_facts.finished = true;
        }
    }

    void number()
    {
        const std::size_t start = m_at;
        constexpr std::string_view kNumberCharacters = "+-.eE0123456789";
        while (m_at < m_text.size() &&
               kNumberCharacters.find(m_text[m_at]) != std::string_view::npos)
            ++m_at;
        if (m_topKey != "usage" || m_key != "completion_tokens")
            return;
        std::uint32_t n = 0;
        const auto result = std::from_chars(m_text.data() + start, m_text.data() + m_at, n);
        if (result.ec == std::errc() && result.ptr == m_text.data() + m_at)
            m_facts.completionTokens = n;
    }

    std::string_view m_text;
    std::size_t m_at = 0;
    int m_depth = 0;
    std::string_view m_key;
    std::string_view m_topKey;
    EventFacts m_facts;
};

} // namespace

EventFacts scanEvent(std::string_view json)
{
    return Scanner(json).run();
}

} // namespace hawthornslip
