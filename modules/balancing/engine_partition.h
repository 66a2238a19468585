#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>

namespace hawthornslip {

/** How a request bears that its tokens come in jerks. */
enum class PauseTolerance {
    /** Its callers notice short pauses. */
    Sensitive,
    /** Its callers bear pauses that the prompts of others cause. */
    Tolerant
};

/**
 * Parts the engines of one service between requests that bear pauses and requests that don't.
 *
 * Answers the load in which long prompts and short dialogues share engines: each part of a prompt
 * that an engine reads holds up the next token of all its other requests, so that a few long
 * prompts make every dialogue beside them late. Each kind gets engines in proportion to the prompt
 * tokens that it brought lately, so that all engines read about as much; dialogues get more when
 * their running requests need more, as a dialogue that finds no slot displaces a long prompt.
 */
class EnginePartition
{
public:
    /** Notes requests, of this node or of others, with @p tokens of prompts to read. */
    void observe(PauseTolerance tolerance, double tokens, TimePoint now);

    /**
     * @param engines how many there are.
     * @param sensitiveNeeded how many the running requests that bear no pauses fill.
     * @return how many of them, the first ones in an order that all nodes share, take the requests
     *         that bear pauses. The others take the rest.
     */
    std::size_t tolerantEngines(std::size_t engines, double sensitiveNeeded, TimePoint now);

private:
    void decay(TimePoint now);
    void updateNeeded(double needed, TimePoint now);

    double m_sensitiveTokens = 0;
    double m_tolerantTokens = 0;
    TimePoint m_decayedAt{};
    /** Engines that dialogues need, smoothed. */
    double m_neededEngines = 0;
    TimePoint m_neededAt{};
    /** The last result and the number of engines that it is for. */
    std::size_t m_tolerantEngines = 0;
    std::size_t m_engines = 0;
};

} // namespace hawthornslip
