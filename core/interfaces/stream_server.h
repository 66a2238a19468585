#pragma once

#include "core/caller_limits.h"
#include "core/interfaces/http_server.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace hawthornslip {

/** The caller's side of one request. Every call returns at once. */
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    /**
     * Sends the head of the answer.
     *
     * @param length bytes of the body; without it the body is sent in chunks.
     */
    virtual void begin(int status, const HttpHeaders &headers,
                       std::optional<std::size_t> length) = 0;

    /** Sends a piece of the body. */
    virtual void write(std::string_view piece) = 0;

    /** Completes the answer; the connection serves the next request unless it is closing. */
    virtual void end() = 0;

    /** Closes the connection so that the caller sees an incomplete answer. */
    virtual void abort() = 0;

    /** @return bytes that the caller has not taken from this process yet. */
    virtual std::size_t unsentBytes() const = 0;
};

/** Receives what happens at the caller's side of one request. */
class CallerEvents
{
public:
    virtual ~CallerEvents() = default;

    /** The caller closed its connection before the answer was complete. */
    virtual void onCallerGone() = 0;

    /** The caller has taken all that was written. */
    virtual void onSendBufferEmpty() = 0;
};

/** Takes the requests of a listener; called on the loop's thread. */
class RequestSink
{
public:
    virtual ~RequestSink() = default;

    /** Takes a whole request; @p writer outlives the answer. @return who follows the caller. */
    virtual std::shared_ptr<CallerEvents> onRequest(HttpRequest request,
                                                    std::shared_ptr<ResponseWriter> writer) = 0;

    /** @return the limits in force. */
    virtual CallerLimits limits() const = 0;

    /** @return true when connections are to close after their answer. */
    virtual bool isStopping() const = 0;

    /** Notes input that was answered with @p status by the listener itself. */
    virtual void onBadInput(int status, std::string_view cause) = 0;
};

} // namespace hawthornslip
