#include "servers/gateway/answer_relay.h"

#include "core/http_status.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

// Answers up to this size are buffered, so that the request can be retried if one breaks off.
constexpr std::size_t kMaxBufferedBytes = 256 << 10;
// Unsent bytes for a slow caller above which its upstream is paused.
constexpr std::size_t kMaxBacklogBytes = 64 << 10;

} // namespace

AnswerRelay::AnswerRelay(const EventLoop &loop, std::shared_ptr<ResponseWriter> writer)
    : m_loop(loop)
    , m_writer(std::move(writer))
{}

void AnswerRelay::beginAttempt()
{
    m_mode = Mode::Buffer;
    m_evidence = {};
    m_body.clear();
    m_splitter.reset();
    m_hasFirstOutput = false;
    m_attemptEvents = 0;
    m_isMisplaced = false;
    m_hasAddedEvent = false;
}

void AnswerRelay::onHead(HttpHeaders headers, const AnswerEvidence &evidence, bool isStream)
{
    m_evidence = evidence;
    m_mode = isStream ? Mode::Events : Mode::Buffer;
    // The caller already has the head from the first attempt.
    if (m_begun)
        return;
    m_status = evidence.status();
    m_headers = std::move(headers);
}

bool AnswerRelay::onPiece(std::string_view piece)
{
    if (m_begun && m_writer->unsentBytes() > kMaxBacklogBytes)
        return false;
    switch (m_mode) {
    case Mode::Events:
        m_splitter.add(piece, [this](const StreamEvent &event) { onEvent(event); });
        break;
    case Mode::PassThrough:
        m_writer->write(piece);
        break;
    case Mode::Buffer:
        m_body += piece;
        if (m_body.size() > kMaxBufferedBytes && !m_begun && mayPassThrough()) {
            recordFirstOutput();
            begin(std::nullopt);
            m_writer->write(std::exchange(m_body, {}));
            m_mode = Mode::PassThrough;
        }
        break;
    }
    return true;
}

bool AnswerRelay::mayPassThrough() const
{
    return m_evidence.hasStamp() && m_evidence.isProven() && !m_evidence.isNotRun();
}

AnswerEnding AnswerRelay::ending(bool endedByClose) const
{
    return {isStream(), m_attemptEvents, isStream() && m_splitter.pending() > 0, endedByClose};
}

bool AnswerRelay::isTooLong() const
{
    return m_body.size() > kMaxBufferedBytes ||
           m_splitter.pending() > EventSplitter::kMaxEventBytes;
}

AnswerRelay::EventPlace AnswerRelay::placeOf(const StreamEvent &event) const
{
    if (!m_begun)
        return EventPlace::Next;
    if (m_hasAddedEvent) {
        const bool isOld = event.id && m_lastEventId && *event.id <= *m_lastEventId;
        return isOld ? EventPlace::Repeated : EventPlace::Next;
    }
    if (!event.id || !m_lastEventId || *event.id < *m_lastEventId)
        return EventPlace::Unknown;
    if (*event.id == *m_lastEventId)
        return event.text == m_lastEvent ? EventPlace::Repeated : EventPlace::Unknown;
    // A larger step than any before means that events are missing.
    return *event.id - *m_lastEventId > std::max<std::uint64_t>(m_largestIdStep, 1)
                   ? EventPlace::Unknown
                   : EventPlace::Next;
}

void AnswerRelay::recordEventId(std::uint64_t id)
{
    const std::uint64_t step = id - m_lastEventId.value_or(0);
    // The first id is a step only as long as there is no other: the stream may begin anywhere.
    m_largestIdStep = m_hasIdStep ? std::max(m_largestIdStep, step) : step;
    m_hasIdStep = m_lastEventId.has_value();
    m_lastEventId = id;
}

void AnswerRelay::onEvent(const StreamEvent &event)
{
    if (m_isMisplaced)
        return;
    recordFirstOutput();
    ++m_attemptEvents;
    const EventPlace place = placeOf(event);
    m_isMisplaced = place == EventPlace::Unknown;
    if (place != EventPlace::Next)
        return;
    if (!m_begun)
        begin(std::nullopt);
    m_hasAddedEvent = true;
    m_writer->write(event.text);
    ++m_stats.events;
    const TimePoint now = m_loop.now();
    if (m_stats.lastEventAt != TimePoint{})
        m_stats.longestPause = std::max(m_stats.longestPause, now - m_stats.lastEventAt);
    m_stats.lastEventAt = now;
    if (event.id) {
        recordEventId(*event.id);
        m_lastEvent = event.text;
    }
}

void AnswerRelay::recordFirstOutput()
{
    m_hasFirstOutput = true;
    if (m_stats.firstOutputAt == TimePoint{})
        m_stats.firstOutputAt = m_loop.now();
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
    if (m_mode == Mode::Buffer) {
        recordFirstOutput();
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
