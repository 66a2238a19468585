#include "modules/claims/claim_rules.h"

namespace hawthornslip {

namespace {

ClaimStep stepForOwnRecord(const ClaimRecord &record)
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

ClaimStep nextClaimStep(const ClaimRecord *record, const ClaimRequest &request)
{
    if (record == nullptr)
        return ClaimStep::Write;
    if (record->claimId == request.claimId)
        return stepForOwnRecord(*record);
    if (record->state == ClaimState::NotRun)
        return ClaimStep::Write;
    if (record->bodyHash != request.bodyHash)
        return ClaimStep::KeyReused;
    switch (record->state) {
    case ClaimState::Ran:
        return ClaimStep::Ran;
    case ClaimState::MayHaveRun:
        return ClaimStep::MayHaveRun;
    default:
        return ClaimStep::QueryHolder;
    }
}

OutcomeStep nextOutcomeStep(const ClaimRecord *record, const ClaimOutcomeReport &report)
{
    // Write the outcome even without a record: the write changes the object's version, so that a
    // delayed write of a claim reported as not_run fails with a conflict.
    if (record == nullptr)
        return OutcomeStep::Write;
    if (record->claimId != report.claimId)
        return OutcomeStep::Superseded;
    if (record->state == ClaimState::Claimed)
        return OutcomeStep::Write;
    // may_have_run can change to ran when the answer arrives later. It never changes to not_run:
    // a delayed message would then free a key whose request was sent.
    if (record->state == ClaimState::MayHaveRun && report.state == ClaimState::Ran)
        return OutcomeStep::Write;
    return OutcomeStep::Stored;
}

} // namespace hawthornslip
