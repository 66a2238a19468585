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
 * It does what a load balancer does: a node to which no connection can be made gets no requests for
 * a second, and the request goes to the next node.
 */
class LoadGenerator
{
public:
    /** @param client must outlive the generator. */
    LoadGenerator(LoadSpec spec, UpstreamClient &client, const Clock &clock);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /**
     * Sends the load in real time and waits until each request has ended.
     *
     * @param onProgress called about once a second with the time since the start.
     * @return the outcomes in the order of plan().
     */
    std::vector<LoadOutcome> run(const std::function<void(Duration)> &onProgress = {});

    const LoadSpec &spec() const { return m_spec; }
    const std::vector<PlannedRequest> &plan() const { return m_plan; }

    /** Takes a node out or back, as a balancer does by the node's readiness. */
    void setNodeReady(std::size_t node, bool ready);

private:
    class Call;

    void send(std::size_t index, int attempt);
    /** @return the node for a request that prefers @p preferred. */
    std::size_t pickNode(std::size_t preferred);
    void ended(std::size_t index, LoadOutcome outcome);
    /** Repeats a request whose connection was not made. @return false when it has no node left. */
    void retryElsewhere(std::size_t index, std::size_t node, int attempt);
    void waitUntil(TimePoint time, const std::function<void(Duration)> &onProgress);
    void showProgress(const std::function<void(Duration)> &onProgress);
    bool waitForAll(const std::function<void(Duration)> &onProgress);
    void judge(std::size_t index, LoadOutcome &outcome) const;

    LoadSpec m_spec;
    UpstreamClient &m_client;
    const Clock &m_clock;
    std::vector<PlannedRequest> m_plan;
    TimePoint m_start{};
    Duration m_lastProgress{0};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<LoadOutcome> m_outcomes;
    std::size_t m_ended = 0;
    std::vector<bool> m_ready;
    /** Time until which each node is left out. */
    std::vector<TimePoint> m_avoidUntil;
};

} // namespace hawthornslip
