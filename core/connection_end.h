#pragma once

#include "core/enum_names.h"

#include <cstddef>

/** How connections of callers end, as counted and logged. */
namespace hawthornslip {

/** Why a connection of a caller ended. */
enum class ConnectionEndCause {
    /** The caller closed it or cannot be reached any more. */
    CallerClosed,
    /** It was idle for longer than callers may keep it. */
    IdleTimeout,
    /** It was idle while the process stops, and was closed before the listener. */
    Stopping,
    /** The answer before said that it is the last one. */
    LastAnswer,
    /** Its input was refused with an answer. */
    InputRefused,
    /** The answer could not be completed. */
    AnswerBroken,
    /** The code that handles requests failed. */
    HandlerFailed,
    /** The process holds too many bytes. */
    MemoryFull,
    /** The listener has too many connections. */
    TooManyConnections,
    /** The listener ends with all connections that are left. */
    ListenerClosed,
};

inline constexpr EnumNames<ConnectionEndCause, 10> kConnectionEndCauseNames = {{
        {ConnectionEndCause::CallerClosed, "caller_closed"},
        {ConnectionEndCause::IdleTimeout, "idle_timeout"},
        {ConnectionEndCause::Stopping, "stopping"},
        {ConnectionEndCause::LastAnswer, "last_answer"},
        {ConnectionEndCause::InputRefused, "input_refused"},
        {ConnectionEndCause::AnswerBroken, "answer_broken"},
        {ConnectionEndCause::HandlerFailed, "handler_failed"},
        {ConnectionEndCause::MemoryFull, "memory_full"},
        {ConnectionEndCause::TooManyConnections, "too_many_connections"},
        {ConnectionEndCause::ListenerClosed, "listener_closed"},
}};

/** What was on a connection of a caller when it ended. */
enum class RequestAtEnd {
    None,
    /** Bytes that were left in the socket; nobody read them, and the connection is reset. */
    Unread,
    /** Part of a request was read. */
    Partial,
    /** Bytes after the last answer were read and dropped; a whole request may be among them. */
    Following,
    /** A request had no answer yet. */
    Unanswered,
    /** A request had a part of its answer. */
    PartlyAnswered,
};

inline constexpr EnumNames<RequestAtEnd, 6> kRequestAtEndNames = {{
        {RequestAtEnd::None, "none"},
        {RequestAtEnd::Unread, "unread"},
        {RequestAtEnd::Partial, "partial"},
        {RequestAtEnd::Following, "following"},
        {RequestAtEnd::Unanswered, "unanswered"},
        {RequestAtEnd::PartlyAnswered, "partly_answered"},
}};

/** The end of one connection of a caller. */
struct ConnectionEnd
{
    ConnectionEndCause cause = ConnectionEndCause::CallerClosed;
    RequestAtEnd request = RequestAtEnd::None;
    /** Bytes that were read, or are known to be in the socket, and belong to no answered request.
     */
    std::size_t bytes = 0;
};

/** @return true when this process ended the connection and its caller lacks an answer. */
constexpr bool isWithoutAnswer(const ConnectionEnd &end)
{
    const bool isOwn = end.cause != ConnectionEndCause::CallerClosed &&
                       end.cause != ConnectionEndCause::InputRefused;
    return isOwn && end.request != RequestAtEnd::None;
}

} // namespace hawthornslip
