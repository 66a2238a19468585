#pragma once

#include "core/ids.h"
#include "core/reasons.h"
#include "servers/request_path/request_error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace hawthornslip {

/** Parameters of a claim, made before a non-idempotent request with a key is sent. */
struct ClaimParams
{
    WorkspaceId workspace;
    std::string key;
    /** Hash of method, path and body; detects a key that is reused for another request. */
    std::uint64_t bodyHash = 0;
    RequestId request;
    /** Time limit for storing the claim. */
    Duration timeout = seconds(2);
};

/** A stored claim: this request, and no other with the same key, may be sent once. */
struct ClaimTicket
{
    WorkspaceId workspace;
    std::string key;
    std::uint64_t claimId = 0;
};

using ClaimAnswer = std::variant<ClaimTicket, RequestError>;

/** The known outcome of a request with an idempotency key. */
struct Outcome
{
    Execution execution = Execution::MayHaveRun;
    bool inProgress = false;
    int httpStatus = 0;
    /** The node that sent the request. */
    NodeId holder;
};

using OutcomeAnswer = std::variant<std::optional<Outcome>, RequestError>;

/** Interface of claims for the request path. Calls may come from any thread. */
class ClaimGateway
{
public:
    virtual ~ClaimGateway() = default;

    /**
     * Claims a key.
     *
     * @param done is called exactly once, on the control thread, with a ticket or an error of
     * reason IdempotencyKeyReused, InProgress, AlreadyRan, OutcomeUnknown, ClaimsFull or
     *        StoreUnavailable.
     */
    virtual void claim(ClaimParams params, std::function<void(const ClaimAnswer &)> done) = 0;

    /**
     * Records the outcome of the request of @p ticket; required once for each ticket. After NotRun
     * the key can be claimed again.
     */
    virtual void record(const ClaimTicket &ticket, Execution execution, int httpStatus) = 0;

    /** Looks up the outcome of a key; @p done gets nothing when the key was never claimed. */
    virtual void lookUp(const WorkspaceId &workspace, const std::string &key,
                        std::function<void(const OutcomeAnswer &)> done) = 0;
};

} // namespace hawthornslip
