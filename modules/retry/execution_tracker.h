#pragma once

#include "core/enum_names.h"
#include "core/reasons.h"

namespace hawthornslip {

/** What is known of one attempt at an upstream. */
enum class AttemptState {
    /** No byte of the request left. */
    NotSent,
    /** Bytes left and no answer came yet. */
    Sent,
    /** The upstream said that it did not run the request. */
    Refused,
    /** An answer has begun. */
    Begun,
    /** The upstream gave its whole answer. */
    Finished,
    /** The connection ended without an answer after bytes had left. */
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
 * What is known of all attempts of one request. Each status that promises "not run", and each
 * repeat of a request that must not run twice, is decided from here.
 */
class ExecutionTracker
{
public:
    /** Starts the next attempt, not sent yet. */
    void beginAttempt();

    /** Moves the present attempt on. */
    void setState(AttemptState state) { m_current = state; }

    /** @return the state of the present attempt. */
    AttemptState current() const { return m_current; }

    /** @return whether the request ran, over all attempts. */
    Execution execution() const;

    /** @return true when no upstream ran the request, nor ever will. */
    bool isCertainlyNotRun() const { return execution() == Execution::NotRun; }

private:
    static Execution executionOf(AttemptState state);

    AttemptState m_current = AttemptState::NotSent;
    Execution m_earlier = Execution::NotRun;
};

} // namespace hawthornslip
