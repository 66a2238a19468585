#include "modules/retry/execution_tracker.h"

#include <algorithm>

namespace hawthornslip {

void ExecutionTracker::beginAttempt()
{
    m_earlier = execution();
    m_current = AttemptState::NotSent;
}

Execution ExecutionTracker::execution() const
{
    return std::max(m_earlier, executionOf(m_current));
}

Execution ExecutionTracker::executionOf(AttemptState state)
{
    switch (state) {
    case AttemptState::NotSent:
    case AttemptState::Refused:
        return Execution::NotRun;
    case AttemptState::Sent:
    case AttemptState::Lost:
        return Execution::MayHaveRun;
    case AttemptState::Begun:
    case AttemptState::Finished:
        return Execution::Ran;
    }
    return Execution::MayHaveRun;
}

} // namespace hawthornslip
