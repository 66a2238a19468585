#include "modules/retry/answer_evidence.h"

#include "core/http_status.h"

namespace hawthornslip {

AnswerEvidence::AnswerEvidence(int status, const ResponseMeta &meta)
    : m_status(status)
    , m_meta(meta)
{}

bool AnswerEvidence::isProven() const
{
    if (isSuccess(m_status))
        return m_meta.hasResponseStamp;
    return isNotRun() || !impliesNotRun(m_status);
}

bool AnswerEvidence::isFailure() const
{
    return !isNotRun() && (isServerFailure(m_status) || !isProven());
}

AttemptState AnswerEvidence::stateWhenComplete() const
{
    if (isNotRun())
        return AttemptState::Refused;
    return isProven() ? AttemptState::Finished : AttemptState::Lost;
}

std::string_view AnswerEvidence::findMissingPart(const AnswerEnding &ending)
{
    if (!ending.isStream)
        return "";
    if (ending.hasPartialEvent)
        return "partial event";
    // A stream has at least one event, so the upstream ended before it.
    return ending.endedByClose && ending.events == 0 ? "no event" : "";
}

} // namespace hawthornslip
