#pragma once

#include "core/interfaces/clock.h"
#include "core/interfaces/upstream_client.h"
#include "servers/load_generator/load_outcome.h"
#include "servers/load_generator/load_plan.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace hawthornslip {

/**
 * Sends a planned load and checks every answer.
 *
 * It acts as a load balancer: after a failed connection a node gets no requests for a second, and
 * the request is sent to the next node.
 */
class LoadGenerator
{
public:
    /** @param client sends the requests; must outlive the generator. */
    LoadGenerator(LoadSpec spec, UpstreamClient &client, const Clock &clock);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /**
     * Sends the load in real time and waits until all requests have ended, at most for the longest
     * timeout of a class and a margin.
     *
     * @param onProgress called about once a second with the time since the start; may be empty.
     * @return the outcomes in the order of plan().
     */
    std::vector<LoadOutcome> run(const std::function<void(Duration)> &onProgress = {});

    const LoadSpec &spec() const { return m_spec; }
    const std::vector<PlannedRequest> &plan() const { return m_plan; }

    /** Includes or excludes a node, as a load balancer does by its readiness check. */
    void setNodeReady(std::size_t node, bool ready);

private:
    class Call;

    void send(std::size_t index, int attempt);
    /** @return the first usable node from @p preferred on; @p preferred when there is none. */
    std::size_t pickNode(std::size_t preferred);
    void recordOutcome(std::size_t index, LoadOutcome outcome);
    /** Repeats a request whose connection failed on the next node, or refuses it after the last. */
    void retryOnNextNode(std::size_t index, std::size_t node, int attempt);
    void waitUntil(TimePoint time, const std::function<void(Duration)> &onProgress);
    void reportProgress(const std::function<void(Duration)> &onProgress);
    bool waitForOutcomes(const std::function<void(Duration)> &onProgress);
    void evaluateTargets(std::size_t index, LoadOutcome &outcome) const;

    LoadSpec m_spec;
    UpstreamClient &m_client;
    const Clock &m_clock;
    std::vector<PlannedRequest> m_plan;
    TimePoint m_start{};
    Duration m_lastProgress{0};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<LoadOutcome> m_outcomes;
    std::size_t m_endedCount = 0;
    std::vector<bool> m_nodeReady;
    /** Time until which each node gets no requests. */
    std::vector<TimePoint> m_unavailableUntil;
};

} // namespace hawthornslip
