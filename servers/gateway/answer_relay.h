#pragma once

#include "core/interfaces/event_loop.h"
#include "core/interfaces/stream_server.h"
#include "core/interfaces/wire_dialect.h"
#include "modules/relay/event_splitter.h"
#include "modules/retry/answer_evidence.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace hawthornslip {

/** Statistics of the answer that a caller got. */
struct RelayStats
{
    std::uint64_t events = 0;
    /** Time of the first event or buffered answer; TimePoint{} before it. */
    TimePoint firstOutputAt{};
    /** TimePoint{} before the first event. */
    TimePoint lastEventAt{};
    Duration longestPause{0};
};

/**
 * Relays the answers of the attempts of one request to its caller. A stream is relayed event by
 * event and can be continued by a later attempt. Other answers are buffered, so that the request
 * can be retried if one breaks off; large ones are relayed as they arrive.
 */
class AnswerRelay
{
public:
    AnswerRelay(const EventLoop &loop, std::shared_ptr<ResponseWriter> writer);

    /** Discards the unfinished answer of the previous attempt. */
    void beginAttempt();

    /** Handles status and headers of an attempt. @param isStream relays the body event by event. */
    void onHead(HttpHeaders headers, const AnswerEvidence &evidence, bool isStream);

    /**
     * Handles a piece of an attempt's body.
     *
     * @return false to pause the upstream until the caller has read more.
     */
    bool onPiece(std::string_view piece);

    /** @return true when the current attempt has delivered a first event or a relayable answer. */
    bool hasFirstOutput() const { return m_hasFirstOutput; }
    /** @return the number of events of the current attempt. */
    std::uint64_t attemptEvents() const { return m_attemptEvents; }
    /** @return true when the head of an answer was sent to the caller. */
    bool hasBegun() const { return m_begun; }
    /** @return true for a stream of events. */
    bool isStream() const { return m_mode == Mode::Events; }
    /** @return true for a large answer that is relayed unbuffered, which rules out a retry. */
    bool isPassedThrough() const { return m_mode == Mode::PassThrough; }
    /** @return where the answer ends that was received so far. */
    AnswerEnding ending(bool endedByClose) const;

    /** @return false when the caller has part of an answer that no other attempt can continue. */
    bool canContinue() const
    {
        return !m_begun || (m_lastEventId.has_value() && !isPassedThrough());
    }
    /** @return true when the current attempt's stream is not the rest of the one that broke off. */
    bool isMisplaced() const { return m_isMisplaced; }

    /** @return true when the bytes received are more than a buffered answer or an event may have.
     */
    bool isTooLong() const;

    /** @return bytes of the current attempt's answer that are buffered here. */
    std::size_t heldBytes() const
    {
        return m_body.capacity() + m_splitter.pending() + m_lastEvent.capacity();
    }

    /** @return the HTTP status for the caller. */
    int status() const { return m_status; }
    /** @return the HTTP status of the current attempt's answer, 0 before it arrives. */
    int attemptStatus() const { return m_evidence.status(); }
    /** @return what the current attempt's answer proves. */
    const AnswerEvidence &evidence() const { return m_evidence; }
    std::optional<std::uint64_t> lastEventId() const { return m_lastEventId; }
    const RelayStats &stats() const { return m_stats; }

    /** Ends the relayed answer, or sends the buffered one. */
    void complete();
    /** Sends an answer made by this node. */
    void answer(int status, const HttpHeaders &headers, std::string_view body);
    /** Aborts the answer, so that the caller sees that it is incomplete. */
    void abort();

private:
    enum class Mode {
        /** The answer is buffered until it is complete or too large. */
        Buffer,
        /** Pieces are relayed as they arrive. */
        PassThrough,
        /** Events are relayed as they become complete. */
        Events
    };

    /** Where an event belongs in the caller's stream. */
    enum class EventPlace {
        Next,
        /** The caller has it. */
        Repeated,
        /** It is not known to follow what the caller has. */
        Unknown
    };

    void begin(std::optional<std::size_t> length);
    bool mayPassThrough() const;
    EventPlace placeOf(const StreamEvent &event) const;
    void recordEventId(std::uint64_t id);
    void onEvent(const StreamEvent &event);
    void recordFirstOutput();

    const EventLoop &m_loop;
    std::shared_ptr<ResponseWriter> m_writer;
    Mode m_mode = Mode::Buffer;
    int m_status = 0;
    HttpHeaders m_headers;
    AnswerEvidence m_evidence;
    std::string m_body;
    EventSplitter m_splitter;
    bool m_begun = false;
    bool m_hasFirstOutput = false;
    std::uint64_t m_attemptEvents = 0;
    bool m_isMisplaced = false;
    /** The current attempt has added an event to the caller's stream. */
    bool m_hasAddedEvent = false;
    std::optional<std::uint64_t> m_lastEventId;
    std::string m_lastEvent;
    /** Largest difference between the ids of successive events. */
    std::uint64_t m_largestIdStep = 0;
    bool m_hasIdStep = false;
    RelayStats m_stats;
};

} // namespace hawthornslip
