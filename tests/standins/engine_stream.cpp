#include "tests/standins/engine_stream.h"

#include "core/logger.h"
#include "servers/load_generator/token_text.h"

#include <fmt/format.h>

namespace hawthornslip::standin {

EngineStream::EngineStream(About about)
    : m_about(std::move(about))
{}

const std::string &EngineStream::eventId() const
{
    return m_about.wrongId.empty() ? m_about.requestId : m_about.wrongId;
}

std::string EngineStream::event(const std::string &content, bool last) const
{
    const std::string head = fmt::format(
            R"(data: {{"id":{},"object":"chat.completion.chunk","model":{},"choices":[{{"index":0,)",
            jsonQuote(eventId()), jsonQuote(m_about.model));
    if (!last) {
        return head +
               fmt::format(R"("delta":{{"content":{}}},"finish_reason":null}}]}})",
                           jsonQuote(content)) +
               "\n\n";
    }
    return head +
           fmt::format(R"("delta":{{}},"finish_reason":"stop"}}],)"
                       R"("usage":{{"prompt_tokens":{},"completion_tokens":{}}}}})",
                       m_about.promptTokens, m_about.tokens) +
           "\n\ndata: [DONE]\n\n";
}

void EngineStream::addToken(std::uint32_t index)
{
    const std::lock_guard lock(m_mutex);
    if (m_about.skipToken == index)
        return;
    const std::string text = tokenText(eventId(), index);
    const int copies = m_about.repeatToken == index ? 2 : 1;
    for (int i = 0; i < copies; ++i)
        m_text += m_about.streamed ? event(text, false) : text;
    m_changed.notify_one();
}

void EngineStream::finish()
{
    const std::lock_guard lock(m_mutex);
    if (m_about.streamed)
        m_text += event("", true);
    m_done = true;
    m_changed.notify_one();
}

void EngineStream::fail()
{
    const std::lock_guard lock(m_mutex);
    m_failed = true;
    m_changed.notify_one();
}

std::string EngineStream::next(bool &failed)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_text.empty() || m_done || m_failed; });
    failed = m_failed && m_text.empty();
    std::string piece;
    piece.swap(m_text);
    return piece;
}

std::string EngineStream::waitForWhole()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_done || m_failed; });
    if (m_failed)
        return {};
    return fmt::format(
            R"({{"id":{},"object":"chat.completion","model":{},"choices":[{{"index":0,"message":)"
            R"({{"role":"assistant","content":{}}},"finish_reason":"stop"}}],)"
            R"("usage":{{"prompt_tokens":{},"completion_tokens":{}}}}})",
            jsonQuote(eventId()), jsonQuote(m_about.model), jsonQuote(m_text), m_about.promptTokens,
            m_about.tokens);
}

} // namespace hawthornslip::standin
