#pragma once

#include "core/time.h"

namespace hawthornslip {

/**
 * Estimates how long a new prompt waits at one engine until the prompts before it are read, from
 * the tokens that all nodes sent there. It counts with only a part of the engine's reading rate:
 * the rest is left for the streams beside, whose tokens would otherwise come a chunk of a prompt
 * apart.
 */
class PrefillQueue
{
public:
    PrefillQueue();

    /** Notes that @p tokens of a prompt were sent to the engine. */
    void add(double tokens, TimePoint now);

    /** @return how long a prompt that is sent now waits before it is read. */
    Duration wait(TimePoint now) const;

    /** @return how long the engine takes to read @p tokens of a prompt. */
    Duration readTime(double tokens) const;

    /**
     * Learns from a prompt that found the engine idle.
     *
     * @param tokens that had to be read.
     * @param took from sending to the first event.
     */
    void observe(double tokens, Duration took);

private:
    double drainedAt(TimePoint now) const;

    double m_tokens = 0;
    TimePoint m_at{};
    double m_tokensPerSecond;
};

} // namespace hawthornslip
