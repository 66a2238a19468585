#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornslip {

/** An HTTP request to a back end. */
struct UpstreamRequest
{
    std::string method = "POST";
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /** Sent instead of @c body when set; shared, so that a large body is not copied. */
    std::shared_ptr<const std::string> sharedBody = nullptr;
    Duration connectTimeout = milliseconds(500);
    /** Longest wait for the first byte of the response body; zero means no limit. */
    Duration firstByteTimeout{0};
    /** Longest gap between two reads of the response; zero means no limit. */
    Duration idleTimeout{0};
    Duration totalTimeout = seconds(120);
    /**
     * Disables automatic retransmission. HTTP clients commonly resend a request when a kept-alive
     * connection turns out to be closed.
     */
    bool sendOnce = false;
    /**
     * Lower-case name and value of a correlation header that every response echoes. A response with
     * another value belongs to an earlier request on the connection and is discarded. One without
     * it ends the call as broken, unless it is the first on its connection.
     */
    std::string tagHeader;
    std::string tag;
    /** Reuses a kept-alive connection only if it has been idle for less than this. */
    Duration reuseWithin = seconds(3600);

    /** @return the body to send. */
    std::string_view content() const
    {
        return sharedBody ? std::string_view(*sharedBody) : std::string_view(body);
    }
};

/**
 * For calls that follow shared state: a connection that was idle for longer may have been cut in
 * the meantime, which a long poll would notice only after seconds.
 */
inline constexpr Duration kStateReuseWithin = seconds(2);

/** How a call to a back end ended. */
enum class UpstreamResult {
    /** The complete response arrived. */
    Complete,
    /** No connection was made: no byte of the request was sent. */
    ConnectFailed,
    /** The connection failed after part of the request may have been sent. */
    Broken,
    FirstByteTimeout,
    IdleTimeout,
    TotalTimeout,
    Cancelled,
};

/** The outcome of a finished call. */
struct UpstreamEnd
{
    UpstreamResult result = UpstreamResult::Broken;
    int httpStatus = 0;
    std::string message;
    /** The upstream closes the connection after this response, as a draining one does. */
    bool closing = false;
    /** The body had neither a length nor chunks and ended with the connection. */
    bool endedByClose = false;
};

/** Receives the response of one call on the driver's thread; must not block. */
class UpstreamHandler
{
public:
    virtual ~UpstreamHandler() = default;

    /** Called once with the status and the headers (lower-case names). */
    virtual void onHeaders(int httpStatus,
                           const std::vector<std::pair<std::string, std::string>> &headers) = 0;

    /**
     * Called with each part of the body.
     *
     * @return false to pause the stream for backpressure; resume() continues it and delivers the
     *         same part again.
     */
    virtual bool onData(std::string_view piece) = 0;

    /** @return bytes of the response that this handler still holds. */
    virtual std::size_t heldBytes() const { return 0; }

    /** Called once, as the last callback. */
    virtual void onEnd(const UpstreamEnd &end) = 0;
};

/** A call in progress. */
class UpstreamCall
{
public:
    virtual ~UpstreamCall() = default;

    /** Aborts the call and closes its connection; onEnd() follows with Cancelled. */
    virtual void cancel() = 0;

    /** Continues a paused stream. */
    virtual void resume() = 0;
};

/** Sends calls to back ends. */
class UpstreamClient
{
public:
    virtual ~UpstreamClient() = default;

    /** Starts a call; @p handler is kept alive until its onEnd() has returned. */
    virtual std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                               std::shared_ptr<UpstreamHandler> handler) = 0;
};

} // namespace hawthornslip
