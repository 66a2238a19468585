#include "servers/gateway/answer_relay.h"

#include "core/http_status.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

// Answers up to this size are collected, so that one that breaks off can be asked for again.
constexpr std::size_t kMaxCollected = 256 << 10;
// Bytes that a slow caller may leave behind before its upstream is paused.
constexpr std::size_t kMaxBacklog = 64 << 10;

} // namespace

AnswerRelay::AnswerRelay(const EventLoop &loop, std::shared_ptr<ResponseWriter> writer)
    : m_loop(loop)
    , m_writer(std::move(writer))
{}

void AnswerRelay::beginAttempt()
{
    m_mode = Mode::Collect;
    m_answer = {};
    m_attemptStatus = 0;
    m_body.clear();
    m_splitter.reset();
    m_hasFirstPiece = false;
}

void AnswerRelay::onHead(int status, HttpHeaders headers, const ResponseMeta &answer, bool isStream)
{
    m_answer = answer;
    m_attemptStatus = status;
    m_mode = isStream ? Mode::Events : Mode::Collect;
    // A continued stream keeps the head of its first upstream.
    if (m_begun)
        return;
    m_status = status;
    m_headers = std::move(headers);
}

bool AnswerRelay::onPiece(std::string_view piece)
{
    if (m_begun && m_writer->unsentBytes() > kMaxBacklog)
        return false;
    switch (m_mode) {
    case Mode::Events:
        m_splitter.add(piece, [this](const StreamEvent &event) { onEvent(event); });
        break;
    case Mode::Pieces:
        m_writer->write(piece);
        break;
    case Mode::Collect:
        m_body += piece;
        if (m_body.size() > kMaxCollected && isSuccess(m_attemptStatus) &&
            m_answer.hasResponseStamp && !m_begun) {
            noteFirstPiece();
            begin(std::nullopt);
            m_writer->write(std::exchange(m_body, {}));
            m_mode = Mode::Pieces;
        }
        break;
    }
    return true;
}

void AnswerRelay::onEvent(const StreamEvent &event)
{
    noteFirstPiece();
    if (event.id && m_lastEvent && *event.id <= *m_lastEvent)
        return;
    if (!m_begun)
        begin(std::nullopt);
    m_writer->write(event.text);
    ++m_record.events;
    const TimePoint now = m_loop.now();
    if (m_lastEventAt != TimePoint{})
        m_record.longestPause = std::max(m_record.longestPause, now - m_lastEventAt);
    m_lastEventAt = now;
    if (event.id)
        m_lastEvent = event.id;
}

void AnswerRelay::noteFirstPiece()
{
    m_hasFirstPiece = true;
    if (m_record.firstAt == TimePoint{})
        m_record.firstAt = m_loop.now();
}

void AnswerRelay::begin(std::optional<std::size_t> length)
{
    m_begun = true;
    HttpHeaders headers;
    for (const auto &it : m_headers) {
        if (!isHopByHopHeader(it.first))
            headers.push_back(it);
    }
    m_writer->begin(m_status, headers, length);
}

void AnswerRelay::complete()
{
    if (m_mode == Mode::Collect) {
        noteFirstPiece();
        begin(m_body.size());
        m_writer->write(m_body);
    } else if (!m_begun) {
        begin(std::nullopt);
    }
    m_writer->end();
}

void AnswerRelay::answer(int status, const HttpHeaders &headers, std::string_view body)
{
    m_writer->begin(status, headers, body.size());
    m_writer->write(body);
    m_writer->end();
}

void AnswerRelay::abort()
{
    m_writer->abort();
}

} // namespace hawthornslip
