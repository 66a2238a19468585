#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hawthornslip {

/** Which engines a request shares; PrefillInterference decides it by route. */
enum class PauseTolerance {
    /** Its caller notices short pauses, as in a dialogue; long prompts run elsewhere. */
    Sensitive,
    /** Its prompt would pause sensitive streams for too long; it runs among others of its kind. */
    Tolerant
};

/**
 * Partitions the engines of one service between pause-tolerant and pause-sensitive requests. An
 * engine is the inference server behind an upstream.
 *
 * Each prompt chunk that an engine prefills delays the next token of all its other requests, so a
 * few long prompts slow down every dialogue on the same engine. Each kind gets engines in
 * proportion to its recent prompt tokens, so that all engines prefill about as much. Sensitive
 * requests get more engines when their running requests need more slots, because a sensitive
 * request that finds no free slot preempts a tolerant one.
 *
 * An engine with a limit of requests takes more work the longer the prompts are, so the engines
 * with a limit are the first ones for tolerant requests.
 */
class EnginePartition
{
public:
    /** Records requests of this node or of its peers, with @p tokens to prefill in sum. */
    void observe(PauseTolerance tolerance, double tokens, double requests, TimePoint now);

    /**
     * @param engines number of engines.
     * @param limits requests per second that the first engines take; the others have no limit.
     * @param sensitiveNeeded number of engines that the running sensitive requests fill.
     * @return the number of engines for tolerant requests: the first ones in an order that all
     *         nodes share. The others are for sensitive requests.
     */
    std::size_t tolerantEngines(std::size_t engines, const std::vector<double> &limits,
                                double sensitiveNeeded, TimePoint now);

private:
    void decay(TimePoint now);
    void updateNeeded(double needed, TimePoint now);
    double enginesWithCapacity(double share, std::size_t engines,
                               const std::vector<double> &limits) const;

    double m_sensitiveTokens = 0;
    double m_tolerantTokens = 0;
    double m_tolerantRequests = 0;
    TimePoint m_decayedAt{};
    /** Moving average of the engines that sensitive requests need. */
    double m_neededEngines = 0;
    TimePoint m_neededAt{};
    /** The last result and the total number of engines that it applies to. */
    std::size_t m_tolerantEngines = 0;
    std::size_t m_engines = 0;
};

} // namespace hawthornslip
