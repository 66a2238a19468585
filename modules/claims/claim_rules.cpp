#include "modules/claims/claim_rules.h"

namespace hawthornslip {

namespace {

ClaimStep judgeOwnRecord(const ClaimRecord &record)
{
    switch (record.state) {
    case ClaimState::Claimed:
        return ClaimStep::Grant;
    case ClaimState::Ran:
        return ClaimStep::Ran;
    case ClaimState::MayHaveRun:
        return ClaimStep::MayHaveRun;
    case ClaimState::NotRun:
        break;
    }
    return ClaimStep::Withdrawn;
}

} // namespace

ClaimStep judgeClaim(const ClaimRecord *record, const ClaimCall &call)
{
    if (record == nullptr)
        return ClaimStep::Write;
    if (record->claimId == call.claimId)
        return judgeOwnRecord(*record);
    if (record->state == ClaimState::NotRun)
        return ClaimStep::Write;
    if (record->bodyHash != call.bodyHash)
        return ClaimStep::KeyReused;
    switch (record->state) {
    case ClaimState::Ran:
        return ClaimStep::Ran;
    case ClaimState::MayHaveRun:
        return ClaimStep::MayHaveRun;
    default:
        return ClaimStep::AskHolder;
    }
}

OutcomeStep judgeOutcome(const ClaimRecord *record, const ClaimOutcomeReport &report)
{
    // A report without a record is written too: for not_run it makes a late write of the claim
    // itself fail on the version.
    if (record == nullptr)
        return OutcomeStep::Write;
    if (record->claimId != report.claimId)
        return OutcomeStep::Superseded;
    if (record->state == ClaimState::Claimed)
        return OutcomeStep::Write;
    // "may have run" becomes "ran" when the answer was seen after all; it never becomes "not run",
    // which would let a late message free a key whose request was sent.
    if (record->state == ClaimState::MayHaveRun && report.state == ClaimState::Ran)
        return OutcomeStep::Write;
    return OutcomeStep::Stored;
}

} // namespace hawthornslip
