#pragma once

#include "core/enum_names.h"

#include <array>
#include <string_view>

/** Why a request failed and whether it was executed, as reported to callers. */
namespace hawthornslip {

/** Whether an upstream executed the request. */
enum class Execution { NotRun, MayHaveRun, Ran };

inline constexpr EnumNames<Execution, 3> kExecutionNames = {{
        {Execution::NotRun, "not_run"},
        {Execution::MayHaveRun, "may_have_run"},
        {Execution::Ran, "ran"},
}};

/** Why a request was refused or failed. Each value has its own counter and HTTP status. */
enum class Reason {
    None,
    Unauthenticated,
    UnknownRoute,
    UnknownProfile,
    UnknownModel,
    ProfileNotAllowed,
    InvalidBody,
    InvalidHeader,
    BodyTooLarge,
    RateLimited,
    TooManyConnections,
    MemoryFull,
    QueueFull,
    PromptQuarantined,
    DeadlineUnreachable,
    DeadlineExceeded,
    NoUpstream,
    VersionUnknown,
    VersionGone,
    OwnerUnreachable,
    StoreUnavailable,
    ClaimsFull,
    IdempotencyKeyReused,
    InProgress,
    AlreadyRan,
    OutcomeUnknown,
    UpstreamRefused,
    UpstreamUnreachable,
    UpstreamFailed,
    UpstreamTimeout,
    AnswerMismatch,
    CallerGone,
    NotReady,
    Draining,
    UnknownKey,
    Internal,
};

/** The published name and HTTP status of a reason. */
struct ReasonInfo
{
    Reason reason;
    std::string_view name;
    int httpStatus;
};

inline constexpr std::array<ReasonInfo, 36> kReasons = {{
        {Reason::None, "none", 200},
        {Reason::Unauthenticated, "unauthenticated", 401},
        {Reason::UnknownRoute, "unknown_route", 404},
        {Reason::UnknownProfile, "unknown_profile", 400},
        {Reason::UnknownModel, "unknown_model", 400},
        {Reason::ProfileNotAllowed, "profile_not_allowed", 403},
        {Reason::InvalidBody, "invalid_body", 400},
        {Reason::InvalidHeader, "invalid_header", 400},
        {Reason::BodyTooLarge, "body_too_large", 413},
        {Reason::RateLimited, "rate_limited", 429},
        {Reason::TooManyConnections, "too_many_connections", 503},
        {Reason::MemoryFull, "memory_full", 503},
        {Reason::QueueFull, "queue_full", 503},
        {Reason::PromptQuarantined, "prompt_quarantined", 503},
        {Reason::DeadlineUnreachable, "deadline_unreachable", 503},
        {Reason::DeadlineExceeded, "deadline_exceeded", 504},
        {Reason::NoUpstream, "no_upstream", 503},
        {Reason::VersionUnknown, "version_unknown", 503},
        {Reason::VersionGone, "version_gone", 503},
        {Reason::OwnerUnreachable, "owner_unreachable", 503},
        {Reason::StoreUnavailable, "store_unavailable", 503},
        {Reason::ClaimsFull, "claims_full", 503},
        {Reason::IdempotencyKeyReused, "idempotency_key_reused", 422},
        {Reason::InProgress, "in_progress", 409},
        {Reason::AlreadyRan, "already_ran", 409},
        {Reason::OutcomeUnknown, "outcome_unknown", 409},
        {Reason::UpstreamRefused, "upstream_refused", 502},
        {Reason::UpstreamUnreachable, "upstream_unreachable", 502},
        {Reason::UpstreamFailed, "upstream_failed", 502},
        {Reason::UpstreamTimeout, "upstream_timeout", 504},
        {Reason::AnswerMismatch, "answer_mismatch", 502},
        {Reason::CallerGone, "caller_gone", 499},
        {Reason::NotReady, "not_ready", 503},
        {Reason::Draining, "draining", 503},
        {Reason::UnknownKey, "unknown_key", 404},
        {Reason::Internal, "internal", 500},
}};

/** @return the name and status of @p reason; the table has an entry for each reason. */
constexpr const ReasonInfo &reasonInfo(Reason reason)
{
    return kReasons[static_cast<std::size_t>(reason)];
}

/** @return the published name of @p reason, as used in error responses and counters. */
constexpr std::string_view nameOf(Reason reason)
{
    return reasonInfo(reason).name;
}

/** @return the published name of @p execution. */
constexpr std::string_view nameOf(Execution execution)
{
    return nameOf(kExecutionNames, execution);
}

} // namespace hawthornslip
