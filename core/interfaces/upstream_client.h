#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornslip {

/** A call to a back end, ready to send. */
struct UpstreamRequest
{
    std::string method = "POST";
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Duration connectTimeout = milliseconds(500);
    /** Longest wait for the first byte of the answer's body; zero means no limit. */
    Duration firstByteTimeout{0};
    /** Longest silence between two pieces of the answer; zero means no limit. */
    Duration idleTimeout{0};
    Duration totalTimeout = seconds(120);
    /**
     * Forbids the driver to send the request a second time by itself. Clients commonly repeat a
     * request when a kept-alive connection turns out to be closed.
     */
    bool sendOnce = false;
    /**
     * A header, in lower case, that every answer to this request repeats with this value. A whole
     * answer with another value belongs to an earlier request on the connection and is skipped.
     */
    std::string tagHeader;
    std::string tag;
    /** Takes a connection that was used before only when it was idle for less than this. */
    Duration reuseWithin = seconds(3600);
};

/** How a call to a back end ended. */
enum class UpstreamResult {
    /** The whole answer arrived. */
    Complete,
    /** No connection was made: no byte of the request was sent. */
    ConnectFailed,
    /** The connection ended early after a byte may have been sent. */
    Broken,
    FirstByteTimeout,
    IdleTimeout,
    TotalTimeout,
    Cancelled,
};

/** What a call brought back when it ended. */
struct UpstreamEnd
{
    UpstreamResult result = UpstreamResult::Broken;
    int httpStatus = 0;
    std::string message;
    /** The upstream asked to close the connection, as one does that is leaving. */
    bool closing = false;
};

/** Receives the answer of one call, on the driver's thread; must not block. */
class UpstreamHandler
{
public:
    virtual ~UpstreamHandler() = default;

    /** Called once with the status and the headers (lower-case names). */
    virtual void onHeaders(int httpStatus,
                           const std::vector<std::pair<std::string, std::string>> &headers) = 0;

    /**
     * Called with each piece of the body.
     *
     * @return false to pause the stream because the reader is slow; resume() continues it and
     *         delivers the same piece again.
     */
    virtual bool onData(std::string_view piece) = 0;

    /** Called once as the last call. */
    virtual void onEnd(const UpstreamEnd &end) = 0;
};

/** A call in progress. */
class UpstreamCall
{
public:
    virtual ~UpstreamCall() = default;

    /** Ends the call now and closes its connection; onEnd() follows with Cancelled. */
    virtual void cancel() = 0;

    /** Continues a paused stream. */
    virtual void resume() = 0;
};

/** Sends calls to back ends. */
class UpstreamClient
{
public:
    virtual ~UpstreamClient() = default;

    /** Starts a call; @p handler is kept until its onEnd() returned. */
    virtual std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                               std::shared_ptr<UpstreamHandler> handler) = 0;
};

} // namespace hawthornslip
