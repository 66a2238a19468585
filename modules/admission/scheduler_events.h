#pragma once

#include "core/ids.h"
#include "core/profile.h"
#include "core/reasons.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

/** What a group's scheduler is told and what it answers. */
namespace hawthornslip {

/** One attempt of one request; a repeated message carries the same key. */
struct AttemptKey
{
    RequestId request;
    std::uint32_t attempt = 0;

    bool operator==(const AttemptKey &) const = default;
};

/** A request for a slot of the group. */
struct AdmissionRequestEvent
{
    AttemptKey key;
    /** The node that asks and will hold the stream. */
    NodeId node;
    WorkspaceId workspace;
    double workspaceWeight = 1;
    std::shared_ptr<const Profile> profile;
    /** Time since the request was accepted. */
    Duration waited{0};
    /** Time until the caller's deadline. */
    Duration remaining = seconds(120);
    std::uint32_t promptTokens = 0;
    /** Tokens that the caller already has, of a stream that resumes. */
    std::uint32_t tokensDone = 0;
    std::uint64_t prefixHash = 0;
    /** Upstreams that failed this request before. */
    std::vector<UpstreamId> excluded;
};

/** How an attempt ended. */
enum class ReleaseResult {
    Complete,
    Cancelled,
    Preempted,
    ConnectFailed,
    Failed,
    TimedOut,
    Unused
};

/** The end of a granted attempt. */
struct ReleaseEvent
{
    GrantId grant;
    ReleaseResult result = ReleaseResult::Unused;
    /** Tokens that this attempt brought. */
    std::uint32_t tokens = 0;
    /** From sending to the first token; zero when none came. */
    Duration firstToken{0};
    /** From sending to the end. */
    Duration duration{0};
    /** False when the holder may still turn out to use the grant, as it was only never
     * acknowledged. */
    bool final = true;
};

/** A granted attempt that still runs. */
struct ProgressEvent
{
    GrantId grant;
    std::uint32_t tokens = 0;
    /** From sending to the first token; zero when unknown. */
    Duration firstToken{0};
};

/** A grant as the node that holds it reports it. */
struct HeldGrantInfo
{
    GrantId grant;
    RequestId request;
    UpstreamId upstream;
    WorkspaceId workspace;
    /** Null when the profile is not known here. */
    std::shared_ptr<const Profile> profile;
    Duration age{0};
    std::uint32_t tokens = 0;
};

/** All grants of this group that a node holds. */
struct GrantReportEvent
{
    NodeId node;
    std::vector<HeldGrantInfo> grants;
};

/** An upstream of the group. */
struct UpstreamInfo
{
    UpstreamId id;
    /** False for a drained or leaving upstream: it gets nothing new. */
    bool acceptsWork = true;
    std::uint32_t maxConcurrency = 64;

    bool operator==(const UpstreamInfo &) const = default;
};

/** What an upstream says about its load, some time ago. */
struct LoadReportEvent
{
    UpstreamId upstream;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    Duration age{0};
};

/** Permission for one attempt to use one slot of an upstream. */
struct GrantAction
{
    AttemptKey key;
    NodeId node;
    GrantId grant;
    UpstreamId upstream;
    /** The attempt had this grant already. */
    bool repeated = false;
};

/** The attempt gets no slot; it was not run. */
struct RefuseAction
{
    AttemptKey key;
    NodeId node;
    Reason reason = Reason::QueueFull;
    Duration retryAfter{0};
};

/** The stream of a grant has to be cancelled and asked for again. */
struct PreemptAction
{
    GrantId grant;
    NodeId node;
    ProfileName profile;
};

using SchedulerAction = std::variant<GrantAction, RefuseAction, PreemptAction>;
using SchedulerActions = std::vector<SchedulerAction>;

/** The load of the group, for nodes that choose between groups. */
struct GroupLoadInfo
{
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    /** Queued requests of each tier. */
    std::array<std::uint32_t, kTierCount> queued{};
    /** Expected wait of a new request for each tier. */
    std::array<Duration, kTierCount> waits{};
};

/** Counts since the scheduler was made. */
struct SchedulerStats
{
    std::uint64_t grants = 0;
    std::uint64_t refusals = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t ejections = 0;
    /** Tier-0 requests shed or preempted for a lower tier; stays 0 (invariant I1). */
    std::uint64_t orderTierViolations = 0;
};

} // namespace hawthornslip
