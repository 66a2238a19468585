#pragma once

#include "core/enum_names.h"
#include "core/reasons.h"

namespace hawthornslip {

/** State of one attempt at an upstream. */
enum class AttemptState {
    /** No byte of the request was sent. */
    NotSent,
    /** Bytes were sent and no answer has begun. */
    Sent,
    /** The upstream reported that it did not run the request. */
    Refused,
    /** An answer has begun. */
    Begun,
    /** The upstream delivered its complete answer. */
    Finished,
    /** Bytes were sent and the attempt ended without a complete, valid answer. */
    Lost,
};

inline constexpr EnumNames<AttemptState, 6> kAttemptStateNames = {{
        {AttemptState::NotSent, "not_sent"},
        {AttemptState::Sent, "sent"},
        {AttemptState::Refused, "refused"},
        {AttemptState::Begun, "begun"},
        {AttemptState::Finished, "finished"},
        {AttemptState::Lost, "lost"},
}};

/**
 * Tracks whether any attempt of one request may have run at an upstream. Every status that reports
 * "not run", and every retry of a non-idempotent request, depends on it.
 */
class ExecutionTracker
{
public:
    /** Starts the next attempt, in state NotSent. */
    void beginAttempt();

    /** Sets the state of the current attempt. */
    void setState(AttemptState state) { m_current = state; }

    /** @return the state of the current attempt. */
    AttemptState current() const { return m_current; }

    /** @return whether the request ran, over all attempts. */
    Execution execution() const;

    /** @return true when no upstream has run the request or will run it. */
    bool isCertainlyNotRun() const { return execution() == Execution::NotRun; }

private:
    static Execution executionOf(AttemptState state);

    AttemptState m_current = AttemptState::NotSent;
    Execution m_earlier = Execution::NotRun;
};

} // namespace hawthornslip
