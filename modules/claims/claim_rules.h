#pragma once

#include "modules/claims/claim_events.h"

namespace hawthornslip {

/** What a claim needs, as far as one version of the shard tells. */
enum class ClaimStep {
    /** The key is free: write a record. */
    Write,
    /** The claim is stored: grant it. */
    Grant,
    /** The claim's own record is final: it must not be granted again. */
    Withdrawn,
    /** The request of this key ran; this never changes. */
    Ran,
    /** The key was used for another request. */
    KeyReused,
    /** An earlier attempt may have run. */
    MayHaveRun,
    /** An earlier attempt is in progress as far as the store knows: its holder decides. */
    AskHolder,
};

/** @return what @p call needs when @p record, or nullptr, is the newest record of its key. */
ClaimStep judgeClaim(const ClaimRecord *record, const ClaimCall &call);

/** What an outcome report needs, as far as one version of the shard tells. */
enum class OutcomeStep {
    /** Write the outcome. */
    Write,
    /** The store holds the outcome, or a final one of the same claim. */
    Stored,
    /** Another claim holds the key. */
    Superseded,
};

/** @return what @p report needs when @p record, or nullptr, is the newest record of its key. */
OutcomeStep judgeOutcome(const ClaimRecord *record, const ClaimOutcomeReport &report);

} // namespace hawthornslip
