#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace hawthornslip::standin {

/** How fast an engine works. */
struct BatchSpec
{
    /** Requests that run at a time; the others wait. */
    std::uint32_t slots = 60;
    /** Requests that may wait; more are refused. */
    std::uint32_t maxQueue = 256;
    /** Time of a step with an empty batch; each running request adds to it. */
    Duration stepBase = milliseconds(20);
    Duration stepPerRunning{200};
    Duration prefillPerToken{100};

    /** @return the time of one step, which gives each of @p running requests a token. */
    Duration step(std::uint32_t running) const { return stepBase + stepPerRunning * running; }
};

/** A request as the batch sees it. */
struct BatchJob
{
    std::uint64_t handle = 0;
    /** Lower goes first. */
    int priority = 0;
    /** Index of the first token to generate; above 0 for a resumed answer. */
    std::uint32_t firstToken = 0;
    /** Tokens of the whole answer. */
    std::uint32_t tokens = 0;
    Duration prefill{0};
};

/** Something that happened in a step. */
struct BatchEvent
{
    enum class Kind { Started, Token, Finished };

    Kind kind = Kind::Token;
    std::uint64_t handle = 0;
    std::uint32_t token = 0;
};

/**
 * A continuously batching engine in model time: steps give each running request one token, and the
 * step grows with the number running.
 */
class BatchModel
{
public:
    explicit BatchModel(BatchSpec spec);

    /** Accepts a job. @return false when the queue is full. */
    bool submit(TimePoint now, const BatchJob &job);

    /** Forgets a job, running or waiting. @return false when it is unknown. */
    bool cancel(std::uint64_t handle);

    /** Forgets all jobs. */
    void clear();

    /** @return what happened up to @p now, in order. */
    std::vector<BatchEvent> advance(TimePoint now);

    /** @return the time of the next step, or nothing when no job runs or the engine is paused. */
    std::optional<TimePoint> nextDue() const;

    /** Sets the factor by which steps and prefills take longer. */
    void setStraggle(double factor) { m_straggle = factor; }

    /** Stops or continues all steps. */
    void setPaused(TimePoint now, bool paused);

    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint32_t queued() const { return m_queuedCount; }

private:
    struct Running
    {
        BatchJob job;
        std::uint32_t next = 0;
        TimePoint prefillEnd;
    };

    Duration stepTime() const;
    void admit(TimePoint now, std::vector<BatchEvent> &events);
    void step(std::vector<BatchEvent> &events);

    BatchSpec m_spec;
    std::vector<Running> m_running;
    std::map<int, std::deque<BatchJob>> m_queue;
    std::uint32_t m_queuedCount = 0;
    std::vector<BatchEvent> m_pending;
    TimePoint m_nextStep{};
    double m_straggle = 1;
    bool m_paused = false;
};

} // namespace hawthornslip::standin
