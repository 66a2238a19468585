#include "servers/request_path/attempt_failure.h"

#include "core/http_status.h"

#include <charconv>

namespace hawthornslip {

namespace {

AttemptFailure makeFailure(Reason reason, Execution execution, std::string message,
                           AttemptResult result)
{
    return {{reason, execution, std::move(message), Duration(0)}, result, false};
}

Duration retryAfter(const HttpHeaders &headers)
{
    constexpr std::int64_t kMaxSeconds = 3600;
    std::int64_t n = 0;
    if (const auto *value = findHeader(headers, "retry-after"))
        std::from_chars(value->data(), value->data() + value->size(), n);
    return seconds(n > 0 && n <= kMaxSeconds ? n : 1);
}

} // namespace

AttemptFailure failureOf(const UpstreamEnd &end)
{
    switch (end.result) {
    case UpstreamResult::ConnectFailed: {
        auto it = makeFailure(Reason::UpstreamUnreachable, Execution::NotRun,
                              "no connection to the upstream", AttemptResult::ConnectFailed);
        it.error.retryAfter = seconds(1);
        it.exemptFromBudget = true;
        return it;
    }
    case UpstreamResult::FirstByteTimeout:
        return makeFailure(Reason::UpstreamTimeout, Execution::MayHaveRun,
                           "the upstream sent no first token in time", AttemptResult::TimedOut);
    case UpstreamResult::IdleTimeout:
        return makeFailure(Reason::UpstreamTimeout, Execution::MayHaveRun,
                           "the upstream's stream stood still", AttemptResult::TimedOut);
    case UpstreamResult::TotalTimeout:
        return makeFailure(Reason::DeadlineExceeded, Execution::MayHaveRun,
                           "the deadline passed before the answer was complete",
                           AttemptResult::TimedOut);
    case UpstreamResult::Complete:
    case UpstreamResult::Broken:
    case UpstreamResult::Cancelled:
        break;
    }
    return makeFailure(Reason::UpstreamFailed, Execution::MayHaveRun,
                       "the connection to the upstream ended early", AttemptResult::Failed);
}

AttemptFailure mismatchFailure()
{
    return makeFailure(Reason::AnswerMismatch, Execution::MayHaveRun,
                       "the upstream answered another request", AttemptResult::Failed);
}

AttemptFailure truncationFailure()
{
    return makeFailure(Reason::UpstreamFailed, Execution::MayHaveRun,
                       "the upstream ended the stream early", AttemptResult::Failed);
}

std::optional<AttemptFailure> failureOf(int status, const HttpHeaders &headers)
{
    const auto *execution = findHeader(headers, "x-execution");
    if (impliesNotRun(status) && execution != nullptr && *execution == nameOf(Execution::NotRun)) {
        auto it = makeFailure(Reason::UpstreamRefused, Execution::NotRun,
                              "the upstream refused the request", AttemptResult::Failed);
        it.error.retryAfter = retryAfter(headers);
        return it;
    }
    // Without that statement the status would be a promise that the upstream does not make.
    if (!isServerFailure(status) && !impliesNotRun(status))
        return std::nullopt;
    return makeFailure(Reason::UpstreamFailed, Execution::MayHaveRun,
                       "the upstream failed with status " + std::to_string(status),
                       AttemptResult::Failed);
}

} // namespace hawthornslip
