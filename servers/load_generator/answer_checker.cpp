#include "servers/load_generator/answer_checker.h"

#include "servers/load_generator/token_text.h"

#include <nlohmann/json.hpp>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

constexpr int kFirstErrorStatus = 300;
constexpr std::string_view kData = "data:";

/** @return the string member @p name of @p json, or an empty string. */
std::string textOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/** @return the first choice of an answer or event, or null. */
Json firstChoice(const Json &json)
{
    const auto it = json.find("choices");
    return it != json.end() && it->is_array() && !it->empty() ? it->front() : Json();
}

} // namespace

AnswerChecker::AnswerChecker(bool streamed, std::string marker, std::uint32_t tokens)
    : m_streamed(streamed)
    , m_marker(std::move(marker))
    , m_expected(tokens)
{}

void AnswerChecker::begin(int status)
{
    m_ok = status < kFirstErrorStatus;
}

void AnswerChecker::add(std::string_view piece)
{
    m_buffer.append(piece);
    if (m_ok && m_streamed)
        takeEvents();
}

void AnswerChecker::takeEvents()
{
    std::size_t at = 0;
    for (auto end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n', at)) {
        std::string_view line(m_buffer.data() + at, end - at);
        at = end + 1;
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.substr(0, kData.size()) != kData)
            continue;
        line.remove_prefix(kData.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        takeEvent(line);
    }
    m_buffer.erase(0, at);
}

void AnswerChecker::takeEvent(std::string_view data)
{
    if (m_endSeen)
        m_faults.repeated = true;
    if (data == "[DONE]") {
        m_endSeen = true;
        return;
    }
    const auto json = Json::parse(data, nullptr, false);
    if (!json.is_object()) {
        m_faults.notWhole = true;
        return;
    }
    if (json.contains("error")) {
        takeError(textOf(json["error"], "code"), textOf(json["error"], "execution"));
        return;
    }
    takeId(textOf(json, "id"));
    const auto choice = firstChoice(json);
    if (choice.is_object() && choice.contains("delta"))
        takeContent(textOf(choice["delta"], "content"));
}

void AnswerChecker::takeId(const std::string &id)
{
    if (m_id.empty())
        m_id = id;
    else if (id != m_id)
        m_faults.crossed = true;
}

void AnswerChecker::takeContent(const std::string &content)
{
    for (std::size_t at = 0; at < content.size(); at += kTokenTextBytes) {
        const auto text = content.substr(at, kTokenTextBytes);
        if (text == tokenText(m_id, m_tokens)) {
            ++m_tokens;
        } else if (m_tokens > 0 && text == tokenText(m_id, m_tokens - 1)) {
            m_faults.repeated = true;
        } else if (text == tokenText(m_id, m_tokens + 1)) {
            m_faults.missing = true;
            m_tokens += 2;
        } else {
            m_faults.crossed = true;
        }
    }
}

void AnswerChecker::takeError(const std::string &code, const std::string &execution)
{
    m_errorCode = code.empty() ? kUnnamedError : code;
    m_errorExecution = execution;
}

void AnswerChecker::takeWhole()
{
    const auto json = Json::parse(m_buffer, nullptr, false);
    if (!json.is_object()) {
        m_faults.notWhole = m_ok;
        if (!m_ok)
            takeError("", "");
        return;
    }
    if (!m_ok) {
        const auto error = json.value("error", Json::object());
        takeError(error.is_object() ? textOf(error, "code") : "",
                  error.is_object() ? textOf(error, "execution") : "");
        return;
    }
    takeId(textOf(json, "id"));
    m_endSeen = true;
    if (!m_marker.empty()) {
        m_faults.crossed = m_faults.crossed || textOf(json, "user") != m_marker;
        return;
    }
    const auto choice = firstChoice(json);
    if (choice.is_object() && choice.contains("message"))
        takeContent(textOf(choice["message"], "content"));
}

void AnswerChecker::finish(bool complete)
{
    if (complete && (!m_ok || !m_streamed))
        takeWhole();
    m_finished = complete;
    if (!m_ok || !m_errorCode.empty())
        return;
    m_faults.notWhole = m_faults.notWhole || !complete || !m_endSeen || m_tokens != m_expected;
}

} // namespace hawthornslip
