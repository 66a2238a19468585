#pragma once

#include "core/interfaces/http_server.h"
#include "core/interfaces/upstream_client.h"
#include "servers/admission/admission_gateway.h"
#include "servers/request_path/request_error.h"

#include <optional>

namespace hawthornslip {

/** The error of a failed attempt, its result for the group owner, and how a retry is charged. */
struct AttemptFailure
{
    RequestError error;
    AttemptResult result = AttemptResult::Failed;
    /** The retry is not charged to the retry budget, as the attempt cost no upstream work. */
    bool exemptFromBudget = false;
};

/** @return the failure of a call that ended with @p end, whose result must not be Complete. */
AttemptFailure failureOf(const UpstreamEnd &end);

/** @return the failure of an attempt that received the answer of another request. */
AttemptFailure mismatchFailure();

/** @return the failure of a stream that ended before its last token. */
AttemptFailure truncationFailure();

/**
 * @return the failure that a complete answer reports: NotRun for a status that promises it with the
 *         header `X-Execution: not_run`, MayHaveRun without that header and for other statuses from
 *         500; nothing for an answer that is relayed.
 */
std::optional<AttemptFailure> failureOf(int status, const HttpHeaders &headers);

} // namespace hawthornslip
