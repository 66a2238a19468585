#pragma once

#include "modules/claims/claim_events.h"

namespace hawthornslip {

/** Next step for a claim, derived from one version of the shard. */
enum class ClaimStep {
    /** The key is free: write a record. */
    Write,
    /** The claim is stored: grant it. */
    Grant,
    /** The claim's own record is NotRun, so the claim must not be granted. */
    Withdrawn,
    /** The request with this key ran; this state is final. */
    Ran,
    /** The key was used for a request with a different body hash. */
    KeyReused,
    /** An earlier attempt may have run. */
    MayHaveRun,
    /** The store shows an earlier attempt in progress; query its holder. */
    QueryHolder,
};

/**
 * @param record newest record of the key, or nullptr.
 * @return the next step for @p request.
 */
ClaimStep nextClaimStep(const ClaimRecord *record, const ClaimRequest &request);

/** Next step for an outcome report, derived from one version of the shard. */
enum class OutcomeStep {
    /** Write the outcome. */
    Write,
    /** The store already holds this outcome or one that this report must not replace. */
    Stored,
    /** The record of the key belongs to another claim. */
    Superseded,
};

/**
 * @param record newest record of the key, or nullptr.
 * @return the next step for @p report.
 */
OutcomeStep nextOutcomeStep(const ClaimRecord *record, const ClaimOutcomeReport &report);

} // namespace hawthornslip
