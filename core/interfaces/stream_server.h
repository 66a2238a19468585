#pragma once

#include "core/caller_limits.h"
#include "core/connection_end.h"
#include "core/interfaces/http_server.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace hawthornslip {

/** Writes the response to one request. No call blocks. */
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    /**
     * Sends the status line and the headers.
     *
     * @param length body size in bytes; without it the body uses chunked transfer encoding.
     */
    virtual void begin(int status, const HttpHeaders &headers,
                       std::optional<std::size_t> length) = 0;

    /** Sends a part of the body. */
    virtual void write(std::string_view piece) = 0;

    /** Completes the response; the connection then serves the next request unless closing. */
    virtual void end() = 0;

    /** Closes the connection so that the caller detects an incomplete response. */
    virtual void abort() = 0;

    /** @return the number of bytes that are still buffered in this process. */
    virtual std::size_t unsentBytes() const = 0;
};

/** Receives the events of the caller's connection during one request. */
class CallerEvents
{
public:
    virtual ~CallerEvents() = default;

    /** The caller's connection closed before the response was complete. */
    virtual void onCallerGone() = 0;

    /** Everything written so far has been sent to the caller. */
    virtual void onSendBufferEmpty() = 0;

    /**
     * The process holds too many bytes. A request whose answer has not begun should get its final
     * answer now; without one its connection closes.
     */
    virtual void onMemoryFull() {}
};

/** Handles the requests of a listener; called on the event loop's thread. */
class RequestSink
{
public:
    virtual ~RequestSink() = default;

    /**
     * Handles a complete request.
     *
     * @param writer stays valid after the response.
     * @return the receiver of the caller's connection events.
     */
    virtual std::shared_ptr<CallerEvents> onRequest(HttpRequest request,
                                                    std::shared_ptr<ResponseWriter> writer) = 0;

    /** @return the limits in force. */
    virtual CallerLimits limits() const = 0;

    /** @return true when connections should close after their current response. */
    virtual bool isStopping() const = 0;

    /** Reports invalid input that the listener itself answered with @p status. */
    virtual void onBadInput(int status, std::string_view cause) = 0;

    /** Reports the end of a caller's connection. */
    virtual void onConnectionEnd(const ConnectionEnd & /*end*/) {}
};

} // namespace hawthornslip
