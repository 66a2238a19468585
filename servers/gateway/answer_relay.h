#pragma once

#include "core/interfaces/event_loop.h"
#include "core/interfaces/stream_server.h"
#include "core/interfaces/wire_dialect.h"
#include "modules/relay/event_splitter.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace hawthornslip {

/** What an exchange tells its caller, and when. */
struct RelayStats
{
    std::uint64_t events = 0;
    /** Origin of the clock before the first piece. */
    TimePoint firstOutputAt{};
    Duration longestPause{0};
};

/**
 * Passes the answers of the attempts of one request on to its caller. A stream is passed on event
 * by event, and may go on with a later attempt; other answers are collected, so that one that
 * breaks off can be asked for again.
 */
class AnswerRelay
{
public:
    AnswerRelay(const EventLoop &loop, std::shared_ptr<AnswerWriter> writer);

    /** Forgets what an earlier attempt left unfinished. */
    void beginAttempt();

    /** Takes the head of an attempt's answer. @param isStream its body is passed on by events. */
    void onHead(int status, HttpHeaders headers, const AnswerMeta &answer, bool isStream);

    /** Takes a piece of an attempt's body. @return false to wait until the caller has read more. */
    bool onPiece(std::string_view piece);

    /** @return true when the present attempt has given a first event, or a first part. */
    bool hasFirstOutput() const { return m_hasFirstOutput; }
    /** @return true when the caller has got the head of an answer. */
    bool hasBegun() const { return m_begun; }
    /** @return true for a stream of events. */
    bool isStream() const { return m_mode == Mode::Events; }
    /** @return true for a large answer that is passed on as it comes and cannot begin anew. */
    bool isPassedThrough() const { return m_mode == Mode::PassThrough; }
    /** @return true when the answer ended within an event. */
    bool hasPartialEvent() const { return isStream() && m_splitter.pending() > 0; }

    /** @return the status that the caller has got or will get. */
    int status() const { return m_status; }
    /** @return the status of the present attempt's answer, 0 without one. */
    int attemptStatus() const { return m_attemptStatus; }
    const AnswerMeta &answer() const { return m_answer; }
    std::optional<std::uint64_t> lastEventId() const { return m_lastEventId; }
    const RelayStats &stats() const { return m_stats; }

    /** Completes the answer that was passed on, or passes on the one that was collected. */
    void complete();
    /** Gives the caller an answer of this node. */
    void answer(int status, const HttpHeaders &headers, std::string_view body);
    /** Ends the answer so that the caller sees that it is incomplete. */
    void abort();

private:
    enum class Mode {
        /** The answer, or as much of it as there is, is collected. */
        Buffer,
        /** Pieces are passed on as they come. */
        PassThrough,
        /** Events are passed on as they become whole. */
        Events
    };

    void begin(std::optional<std::size_t> length);
    void onEvent(const StreamEvent &event);
    void recordFirstOutput();

    const EventLoop &m_loop;
    std::shared_ptr<AnswerWriter> m_writer;
    Mode m_mode = Mode::Buffer;
    int m_status = 0;
    int m_attemptStatus = 0;
    HttpHeaders m_headers;
    AnswerMeta m_answer;
    std::string m_body;
    EventSplitter m_splitter;
    bool m_begun = false;
    bool m_hasFirstOutput = false;
    std::optional<std::uint64_t> m_lastEventId;
    TimePoint m_lastEventAt{};
    RelayStats m_stats;
};

} // namespace hawthornslip
