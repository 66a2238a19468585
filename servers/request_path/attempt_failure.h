#pragma once

#include "core/interfaces/http_server.h"
#include "core/interfaces/upstream_client.h"
#include "servers/admission/admission_gateway.h"
#include "servers/request_path/request_error.h"

#include <optional>

namespace hawthornslip {

/** What a failed attempt means for its request. */
struct AttemptFailure
{
    RequestError error;
    AttemptResult result = AttemptResult::Failed;
    /** The repeat costs no upstream work and so takes nothing from the retry budget. */
    bool exemptFromBudget = false;
};

/** @return the verdict on a call that ended as @p end tells, which is not Complete. */
AttemptFailure failureOf(const UpstreamEnd &end);

/** @return the verdict on an answer of another request. */
AttemptFailure mismatchFailure();

/** @return the verdict on a stream that ended before its last token. */
AttemptFailure truncationFailure();

/**
 * @return the verdict on a whole answer whose status tells of a failure: NotRun when the upstream
 *         says so, MayHaveRun for other statuses from 500; nothing for an answer to relay.
 */
std::optional<AttemptFailure> failureOf(int status, const HttpHeaders &headers);

} // namespace hawthornslip
