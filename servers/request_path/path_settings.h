#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>

namespace hawthornslip {

/** Bounds and times of the request path. */
struct PathSettings
{
    std::size_t maxBodyBytes = 1 << 20;
    /** Bytes buffered for a slow caller before the upstream stream is paused. */
    std::size_t relayBufferBytes = 64 << 10;
    /** Largest answer of a language engine that is not streamed. */
    std::size_t maxAnswerBytes = 16 << 20;
    /** Largest value of an `Idempotency-Key` header. */
    std::size_t maxKeyBytes = 255;
    /** Further attempts of one request after failures; the budget is shared by all requests. */
    std::uint32_t maxRetries = 3;
    Duration connectTimeout = milliseconds(500);
    /**
     * An attempt is given up when its first token takes this many times the target, but not before
     * minFirstTokenTimeout: an engine that queues is slow, not dead.
     */
    int firstTokenTimeoutFactor = 10;
    Duration minFirstTokenTimeout = seconds(2);
    /** Longest silence in a stream, as a multiple of the token target and at least. */
    int idleTimeoutFactor = 100;
    Duration minIdleTimeout = seconds(2);
    /** A comment is sent after this silence, which shows proxies and caller that the stream lives.
     */
    Duration commentInterval = seconds(1);
    /** How often the owner of a group hears of the progress of a stream. */
    Duration progressInterval = milliseconds(500);
    /** Bounds of the answers kept for repeated idempotency keys. */
    std::size_t answerStoreBytes = 32 << 20;
    std::size_t maxStoredAnswerBytes = 1 << 20;
    Duration storedAnswerMaxAge = seconds(600);
};

} // namespace hawthornslip
