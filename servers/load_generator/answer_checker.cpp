#include "servers/load_generator/answer_checker.h"

#include "servers/load_generator/token_text.h"

#include <nlohmann/json.hpp>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

constexpr int kFirstErrorStatus = 300;
constexpr std::string_view kDataPrefix = "data:";

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
    , m_expectedTokens(tokens)
{}

void AnswerChecker::begin(int status)
{
    m_statusOk = status < kFirstErrorStatus;
}

void AnswerChecker::add(std::string_view piece)
{
    m_buffer.append(piece);
    if (m_statusOk && m_streamed)
        parseEvents();
}

void AnswerChecker::parseEvents()
{
    std::size_t at = 0;
    for (auto end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n', at)) {
        std::string_view line(m_buffer.data() + at, end - at);
        at = end + 1;
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.substr(0, kDataPrefix.size()) != kDataPrefix)
            continue;
        line.remove_prefix(kDataPrefix.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        parseEvent(line);
    }
    m_buffer.erase(0, at);
}

void AnswerChecker::parseEvent(std::string_view data)
{
    if (m_endReceived)
        m_faults.repeated = true;
    if (data == "[DONE]") {
        m_endReceived = true;
        return;
    }
    const auto json = Json::parse(data, nullptr, false);
    if (!json.is_object()) {
        m_faults.incomplete = true;
        return;
    }
    if (json.contains("error")) {
        setError(textOf(json["error"], "code"), textOf(json["error"], "execution"));
        return;
    }
    checkId(textOf(json, "id"));
    const auto choice = firstChoice(json);
    if (choice.is_object() && choice.contains("delta"))
        checkContent(textOf(choice["delta"], "content"));
}

void AnswerChecker::checkId(const std::string &id)
{
    if (m_id.empty())
        m_id = id;
    else if (id != m_id)
        m_faults.crossed = true;
}

void AnswerChecker::checkContent(const std::string &content)
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

void AnswerChecker::setError(const std::string &code, const std::string &execution)
{
    m_errorCode = code.empty() ? kMissingErrorCode : code;
    m_errorExecution = execution;
}

void AnswerChecker::parseBody()
{
    const auto json = Json::parse(m_buffer, nullptr, false);
    if (!json.is_object()) {
        m_faults.incomplete = m_statusOk;
        if (!m_statusOk)
            setError("", "");
        return;
    }
    if (!m_statusOk) {
        const auto error = json.value("error", Json::object());
        setError(error.is_object() ? textOf(error, "code") : "",
                 error.is_object() ? textOf(error, "execution") : "");
        return;
    }
    checkId(textOf(json, "id"));
    m_endReceived = true;
    if (!m_marker.empty()) {
        m_faults.crossed = m_faults.crossed || textOf(json, "user") != m_marker;
        return;
    }
    const auto choice = firstChoice(json);
    if (choice.is_object() && choice.contains("message"))
        checkContent(textOf(choice["message"], "content"));
}

void AnswerChecker::finish(bool complete)
{
    if (complete && (!m_statusOk || !m_streamed))
        parseBody();
    m_finished = complete;
    if (!m_statusOk || !m_errorCode.empty())
        return;
    m_faults.incomplete =
            m_faults.incomplete || !complete || !m_endReceived || m_tokens != m_expectedTokens;
}

} // namespace hawthornslip
