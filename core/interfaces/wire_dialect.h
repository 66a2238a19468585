#pragma once

#include "core/interfaces/http_server.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip {

/** A prompt segment; requests with the same segment use the same identifier. */
struct PromptSegment
{
    std::string id;
    std::uint32_t tokens = 0;
};

/** Metadata from the headers of a caller's request. */
struct RequestMeta
{
    /** Request ID, which responses echo. */
    std::string requestId;
    /** Empty when the request has no key. */
    std::string apiKey;
    /** Time left until the caller's deadline for the complete response. */
    std::optional<Duration> timeLeft;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /** Segments of the prompt in order; the last one is unique to this request. */
    std::vector<PromptSegment> prompt;
    /** Resumes the stream after this event. */
    std::optional<std::uint64_t> lastEventId;
    /** Request ID of the attempt that brought the resumed stream's first event; may be empty. */
    std::string resumes;
};

/** Metadata that the router adds to a request for an upstream. */
struct ForwardMeta
{
    Duration timeLeft{0};
    /** ID of the intended upstream; any other one at this address rejects the request. */
    std::string_view expectedUpstream;
    /** Empty when the request has no workspace. */
    std::string_view workspace;
    /** 0 is the most urgent; without a value the upstream decides. */
    std::optional<int> priority;
    std::optional<std::uint64_t> lastEventId;
    /** `ip:port` of an upstream to copy cached prompt segments from; empty when there is none. */
    std::string_view promptSource;
};

/** Metadata from the status and headers of an upstream's response. */
struct ResponseMeta
{
    /** The response has the stamp by which an upstream marks it as its own. */
    bool hasResponseStamp = false;
    /** The upstream states that it did not execute the request. */
    bool certainlyNotRun = false;
    /** The address now belongs to another upstream (421 Misdirected Request). */
    bool isMisdirected = false;
    /** The upstream states that it is about to stop and must not get new requests much longer. */
    bool isLeaving = false;
    /** Requests per second that the upstream takes from all nodes together, if it names a limit. */
    std::optional<double> requestLimit;
    /** The response names a limit that is not a number of requests. */
    bool isRequestLimitUnreadable = false;
};

/** Parses and writes the platform-specific headers between callers, router and upstreams. */
class WireDialect
{
public:
    virtual ~WireDialect() = default;

    /** Parses the headers of a caller's request. */
    virtual RequestMeta readRequest(const HttpHeaders &headers) const = 0;

    /** @return true for headers that only the router may set; those of a caller are dropped. */
    virtual bool isReserved(std::string_view lowerName) const = 0;

    /** Appends the headers that the router sets for an upstream. */
    virtual void writeForward(const ForwardMeta &meta, HttpHeaders &headers) const = 0;

    /** Parses the status and headers of an upstream's response. */
    virtual ResponseMeta readResponse(int status, const HttpHeaders &headers) const = 0;

    /** @return the lower-case name of the header in which a response echoes the request ID. */
    virtual std::string_view requestIdHeader() const = 0;
};

} // namespace hawthornslip
