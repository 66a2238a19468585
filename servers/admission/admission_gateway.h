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

/** What a request needs to be admitted. */
struct AdmissionParams
{
    RequestId request;
    ModelName model;
    WorkspaceId workspace;
    Profile profile;
    /** Rises with each ask of the same request: a retry, a hedge or a resumed stream. */
    std::uint32_t attempt = 0;
    /** Time since the request was accepted. */
    Duration waited{0};
    /** Time left until the caller's deadline. */
    Duration remaining{0};
    std::uint32_t promptTokens = 0;
    /** Tokens already relayed, of a stream that resumes. */
    std::uint32_t tokensDone = 0;
    /** Hash of the prompt's prefix, for cache affinity. */
    std::uint64_t prefixHash = 0;
    /** Back ends that failed this request before. */
    std::vector<UpstreamId> excluded;
};

/** Permission to send one attempt to one back end. */
struct AdmissionGrant
{
    GrantId grant;
    GroupId group;
    UpstreamId upstream;
};

using AdmissionAnswer = std::variant<AdmissionGrant, RequestError>;

/** How an attempt ended, for the owner's estimates. */
enum class AttemptResult {
    Complete,
    Cancelled,
    Preempted,
    ConnectFailed,
    Failed,
    TimedOut,
    Unused
};

/** The end of an attempt. */
struct AttemptReport
{
    AdmissionGrant grant;
    AttemptResult result = AttemptResult::Unused;
    WorkspaceId workspace;
    ProfileName profile;
    std::uint32_t tokens = 0;
    /** From sending to the first token; zero when none came. */
    Duration firstToken{0};
    /** From sending to the end. */
    Duration duration{0};
};

/** The request path's side of admission, whichever node decides. Calls may come from any thread. */
class AdmissionGateway
{
public:
    using Answer = std::function<void(const AdmissionAnswer &)>;
    using Preempt = std::function<void()>;

    virtual ~AdmissionGateway() = default;

    /**
     * Asks for a grant.
     *
     * @param answer is called exactly once, on the control thread; it must not block.
     * @param preempt is called at most once after a grant, when the stream has to be cancelled and
     *        asked for again; it must not block.
     */
    virtual void request(AdmissionParams params, Answer answer, Preempt preempt) = 0;

    /** Withdraws an ask whose caller left; a grant that arrives later is given back unused. */
    virtual void cancel(const RequestId &request, std::uint32_t attempt) = 0;

    /** Reports the tokens so far of a running attempt; @p firstToken is measured from sending. */
    virtual void progress(const AdmissionGrant &grant, std::uint32_t tokens,
                          Duration firstToken) = 0;

    /** Gives a grant back; required once for each grant. */
    virtual void release(const AttemptReport &report) = 0;
};

} // namespace hawthornslip
