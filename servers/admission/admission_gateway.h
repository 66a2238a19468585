#pragma once

#include "core/ids.h"
#include "core/profile.h"
#include "core/time.h"
#include "servers/request_path/request_error.h"

#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

namespace hawthornslip {

/** Parameters of AdmissionGateway::request(). */
struct AdmissionParams
{
    RequestId request;
    ModelName model;
    WorkspaceId workspace;
    Profile profile;
    /** Increases with each attempt of a request: a retry, a hedge or a resumed stream. */
    std::uint32_t attempt = 0;
    /** Time since the request was accepted. */
    Duration waited{0};
    /** Time left until the caller's deadline. */
    Duration remaining{0};
    std::uint32_t promptTokens = 0;
    /** Tokens already relayed to the caller when a stream is resumed. */
    std::uint32_t tokensDone = 0;
    /** Hash of the prompt's prefix, for prefix cache affinity. */
    std::uint64_t prefixHash = 0;
    /** Upstreams that failed this request before. */
    std::vector<UpstreamId> excluded;
};

/** Permission to send one attempt to one upstream. */
struct AdmissionGrant
{
    GrantId grant;
    GroupId group;
    UpstreamId upstream;
};

using AdmissionAnswer = std::variant<AdmissionGrant, RequestError>;

/** How an attempt ended; the owner updates its estimates with it. */
enum class AttemptResult {
    Complete,
    Cancelled,
    Preempted,
    ConnectFailed,
    Failed,
    TimedOut,
    Unused
};

/** Result of an attempt. */
struct AttemptReport
{
    AdmissionGrant grant;
    AttemptResult result = AttemptResult::Unused;
    WorkspaceId workspace;
    ProfileName profile;
    std::uint32_t tokens = 0;
    /** Time to first token, measured from sending; zero when there was no token. */
    Duration firstToken{0};
    /** Time from sending to the end of the attempt. */
    Duration duration{0};
};

/**
 * Interface of admission for the request path, whichever node schedules the request. Calls may come
 * from any thread.
 */
class AdmissionGateway
{
public:
    using Answer = std::function<void(const AdmissionAnswer &)>;
    using Preempt = std::function<void()>;

    virtual ~AdmissionGateway() = default;

    /**
     * Requests a grant.
     *
     * @param answer is called exactly once, on the control thread; it must not block.
     * @param preempt is called at most once after a grant, when the stream has to be cancelled and
     *        a new grant requested; it must not block.
     */
    virtual void request(AdmissionParams params, Answer answer, Preempt preempt) = 0;

    /** Cancels a pending request; a grant that arrives later is released unused. */
    virtual void cancel(const RequestId &request, std::uint32_t attempt) = 0;

    /** Reports progress of a running attempt; @p firstToken is measured from sending. */
    virtual void progress(const AdmissionGrant &grant, std::uint32_t tokens,
                          Duration firstToken) = 0;

    /** Releases a grant; required once for each grant. */
    virtual void release(const AttemptReport &report) = 0;
};

} // namespace hawthornslip
