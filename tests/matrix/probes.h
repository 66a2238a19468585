#pragma once

#include "servers/admission/admission_gateway.h"
#include "servers/claims/claim_gateway.h"
#include "servers/request_path/rate_limiter.h"
#include "servers/request_path/retry_limiter.h"
#include "tests/matrix/stages.h"

#include <map>
#include <string>
#include <utility>

namespace hawthornslip::matrix {

/** Passes claims on and tells at which stage a request is. */
class ProbedClaims : public ClaimGateway
{
public:
    ProbedClaims(ClaimGateway &inner, StageHook &hook)
        : m_inner(inner)
        , m_hook(hook)
    {}

    void claim(ClaimParams ask, std::function<void(const ClaimAnswer &)> done) override
    {
        const auto request = ask.request;
        m_requests[ask.key] = request;
        m_inner.claim(std::move(ask), std::move(done));
        m_hook(Stage::Claim, request);
    }

    void record(const ClaimTicket &ticket, Execution execution, int httpStatus) override
    {
        m_hook(Stage::RecordOutcome, m_requests[ticket.key]);
        m_inner.record(ticket, execution, httpStatus);
    }

    void lookUp(const WorkspaceId &workspace, const std::string &key,
                std::function<void(const OutcomeAnswer &)> done) override
    {
        m_inner.lookUp(workspace, key, std::move(done));
    }

private:
    ClaimGateway &m_inner;
    StageHook &m_hook;
    std::map<std::string, RequestId> m_requests;
};

/** Passes admission on and tells at which stage a request is. */
class ProbedAdmission : public AdmissionGateway
{
public:
    /** @param preempted is called when a stream of @c tier is preempted. */
    ProbedAdmission(AdmissionGateway &inner, StageHook &hook,
                    std::function<void(int tier)> preempted)
        : m_inner(inner)
        , m_hook(hook)
        , m_preempted(std::move(preempted))
    {}

    void request(AdmissionParams ask, Answer answer, Preempt preempt) override
    {
        const auto request = ask.request;
        const int tier = ask.profile.tier;
        m_inner.request(
                std::move(ask),
                [this, request, answer = std::move(answer)](const AdmissionAnswer &it) {
                    answer(it);
                    if (std::holds_alternative<AdmissionGrant>(it))
                        m_hook(Stage::Grant, request);
                },
                [this, tier, preempt = std::move(preempt)] {
                    m_preempted(tier);
                    preempt();
                });
        m_hook(Stage::AskOwner, request);
    }

    void cancel(const RequestId &request, std::uint32_t attempt) override
    {
        m_inner.cancel(request, attempt);
    }
    void progress(const AdmissionGrant &grant, std::uint32_t tokens, Duration firstToken) override
    {
        m_inner.progress(grant, tokens, firstToken);
    }
    void release(const AttemptReport &report) override { m_inner.release(report); }

private:
    AdmissionGateway &m_inner;
    StageHook &m_hook;
    std::function<void(int)> m_preempted;
};

/** Lets every request start, and tells that one was classified. */
class OpenRates : public RateLimiter
{
public:
    std::optional<Duration> take(const Workspace & /*workspace*/, TimePoint /*now*/) override
    {
        if (onTake)
            onTake();
        return std::nullopt;
    }

    std::function<void()> onTake;
};

/** Allows retries and no hedges. */
class FreeRetries : public RetryLimiter
{
public:
    bool take(const Profile & /*profile*/, TimePoint /*now*/) override { return true; }
    void succeeded(const Profile & /*profile*/, Duration /*firstToken*/, TimePoint /*now*/) override
    {}
    std::optional<Duration> hedgeDelay(const Profile & /*profile*/) override
    {
        return std::nullopt;
    }
};

} // namespace hawthornslip::matrix
