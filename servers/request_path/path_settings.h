#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>

namespace hawthornslip {

/** Limits and timeouts of the request path. */
struct PathSettings
{
    std::size_t maxBodyBytes = 1 << 20;
    /** Bytes buffered for a slow caller before the upstream stream is paused. */
    std::size_t relayBufferBytes = 64 << 10;
    /** Largest answer of a language engine that is not relayed as an event stream. */
    std::size_t maxAnswerBytes = 16 << 20;
    /** Largest value of an `Idempotency-Key` header. */
    std::size_t maxKeyBytes = 255;
    /** Retries of one request; all requests of a profile also share a retry budget. */
    std::uint32_t maxRetries = 3;
    Duration connectTimeout = milliseconds(500);
    /**
     * An attempt times out when the time to first token exceeds this multiple of the profile's
     * target, but not before minFirstTokenTimeout: an engine that queues is slow, not dead.
     */
    int firstTokenTimeoutFactor = 10;
    Duration minFirstTokenTimeout = seconds(2);
    /**
     * An attempt times out when no data arrives for this multiple of the profile's token target,
     * but not before minIdleTimeout.
     */
    int idleTimeoutFactor = 100;
    Duration minIdleTimeout = seconds(2);
    /** Idle time before a comment is sent, so that proxies and the caller see a live stream. */
    Duration commentInterval = seconds(1);
    /** Minimum time between progress reports of a stream to the group owner. */
    Duration progressInterval = milliseconds(500);
    /** Bounds of the answer store: total bytes, bytes of one answer, and age. */
    std::size_t answerStoreBytes = 32 << 20;
    std::size_t maxStoredAnswerBytes = 1 << 20;
    Duration storedAnswerMaxAge = seconds(600);
};

} // namespace hawthornslip
