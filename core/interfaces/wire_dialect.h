#pragma once

#include "core/interfaces/http_server.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip {

/** A part of a prompt, by an identifier that requests with the same part share. */
struct PromptSegment
{
    std::string id;
    std::uint32_t tokens = 0;
};

/** What the headers of a caller's request say. */
struct RequestMeta
{
    /** Identifies this one request; answers repeat it. */
    std::string requestId;
    /** Empty without one. */
    std::string apiKey;
    /** How long the caller waits for the whole answer. */
    std::optional<Duration> timeLeft;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /** The parts of the prompt in order; the last one belongs to this request alone. */
    std::vector<PromptSegment> prompt;
    /** The stream goes on after this event. */
    std::optional<std::uint64_t> lastEventId;
};

/** What the router tells an upstream beside the caller's request. */
struct ForwardMeta
{
    Duration timeLeft{0};
    /** Any other upstream at the address refuses the request. */
    std::string_view expectedUpstream;
    /** Empty without one. */
    std::string_view workspace;
    /** 0 is the most urgent; nothing leaves it to the upstream. */
    std::optional<int> priority;
    std::optional<std::uint64_t> lastEventId;
    /** `ip:port` of an upstream that probably keeps parts of the prompt; empty without one. */
    std::string_view promptSource;
};

/** What the headers of an upstream's answer say. */
struct ResponseMeta
{
    /** The answer carries the upstream's proof that it made it. */
    bool hasResponseStamp = false;
    /** The upstream states that it did not run the request. */
    bool certainlyNotRun = false;
    /** Another upstream has this address now. */
    bool isMisdirected = false;
};

/** Reads and writes the headers by which callers, router and upstreams understand each other. */
class WireDialect
{
public:
    virtual ~WireDialect() = default;

    /** @return what the headers of a caller's request say. */
    virtual RequestMeta readRequest(const HttpHeaders &headers) const = 0;

    /** @return true for headers that only the router sets; a caller's are not passed on. */
    virtual bool isReserved(std::string_view lowerName) const = 0;

    /** Appends the headers that the router sets for an upstream. */
    virtual void writeForward(const ForwardMeta &meta, HttpHeaders &headers) const = 0;

    /** @return what status and headers of an upstream's answer say. */
    virtual ResponseMeta readResponse(int status, const HttpHeaders &headers) const = 0;

    /** @return the header, in lower case, by which an answer repeats the request's id. */
    virtual std::string_view requestIdHeader() const = 0;
};

} // namespace hawthornslip
