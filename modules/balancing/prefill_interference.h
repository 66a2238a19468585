#pragma once

#include "core/time.h"
#include "modules/balancing/engine_partition.h"

#include <functional>
#include <map>
#include <string>

namespace hawthornslip {

/**
 * Decides which routes of a service send prompts that must not share engines with the service's
 * most pause-sensitive streams.
 *
 * While an engine prefills a prompt, every stream that it decodes waits for each chunk. A prompt
 * interferes with a stream if two such prompts in a row, as arrive by chance during most streams,
 * delay one event of the stream beyond its pause objective. The prefix cache is not counted on: the
 * first request for a prefix prefills all of it.
 *
 * Routes whose prompts interfere with another route's streams, although that route's own prompts do
 * not, get engines of their own. Without this, long prompts make every dialogue late whatever the
 * ratio of the objectives.
 */
class PrefillInterference
{
public:
    /**
     * Records a request.
     *
     * @param promptTokens all tokens of its prompt, including those of shared prefixes.
     * @param pauseObjective objective of the route for the pause between two events; zero for none.
     */
    void onRequest(const std::string &route, Duration pauseObjective, double promptTokens,
                   TimePoint now);

    /** Records the mean pause between the events of a complete stream. */
    void onStream(const std::string &route, Duration meanPause);

    /**
     * @param tightestPause shortest pause objective of all routes to the service, including those
     *        without a request so far; zero for none.
     * @param prefillRate prompt tokens that an engine prefills per second.
     * @return Tolerant for a route whose prompts need engines of their own.
     */
    PauseTolerance toleranceOf(const std::string &route, Duration tightestPause,
                               double prefillRate) const;

private:
    struct RouteLoad
    {
        Duration pauseObjective{0};
        /** Moving average over the requests. */
        double promptTokens = 0;
        /** Typical pause between events while the engine prefills nothing; 0 before a stream. */
        double meanPauseSeconds = 0;
        /** Number of requests, at most those that the average extends over. */
        double requests = 0;
        TimePoint lastRequestAt{};
    };

    static bool interferes(const RouteLoad &prompts, const RouteLoad &streams, double prefillRate);
    void forgetUnused(TimePoint now);

    std::map<std::string, RouteLoad, std::less<>> m_routes;
    TimePoint m_forgottenAt{};
};

} // namespace hawthornslip
