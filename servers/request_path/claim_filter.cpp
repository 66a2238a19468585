#include "servers/request_path/claim_filter.h"

#include "core/metric_names.h"
#include "servers/request_path/request_context.h"
#include "servers/request_path/request_run.h"

#include <boost/leaf/error.hpp>

#include <mutex>
#include <optional>
#include <utility>

namespace leaf = boost::leaf;

namespace hawthornslip {

namespace {

/** Passes the answer to a claim from the control thread to the request's thread. */
struct PendingClaim
{
    std::mutex mutex;
    std::optional<ClaimAnswer> answer;
    bool abandoned = false;
};

leaf::error_id refuse(Reason reason, std::string message)
{
    return leaf::new_error(RequestError{reason, Execution::NotRun, std::move(message)});
}

} // namespace

leaf::result<void> ClaimFilter::process(RequestContext &context)
{
    if (context.profile->idempotent || context.idempotencyKey.empty())
        return {};
    auto stored = m_services.answers.find(context.workspace->id, context.idempotencyKey,
                                          m_services.clock.now());
    if (!stored)
        return claim(context);
    if (stored->bodyHash != context.bodyHash)
        return refuse(Reason::IdempotencyKeyReused, "the key was used before with another request");
    context.answer.status = stored->status;
    context.answer.headers = std::move(stored->headers);
    context.answer.headers.emplace_back("X-Hawthornslip-Replayed", "true");
    context.answer.body = std::move(stored->body);
    context.answered = true;
    context.replayed = true;
    context.execution = Execution::Ran;
    return {};
}

leaf::result<void> ClaimFilter::claim(RequestContext &context)
{
    ClaimParams claimRequest;
    claimRequest.workspace = context.workspace->id;
    claimRequest.key = context.idempotencyKey;
    claimRequest.bodyHash = context.bodyHash;
    claimRequest.request = context.id;
    claimRequest.timeout =
            std::min(claimRequest.timeout, context.deadline - m_services.clock.now());
    auto pending = std::make_shared<PendingClaim>();
    m_services.claims.claim(claimRequest, [pending, client = context.client,
                                           &claims = m_services.claims](const ClaimAnswer &answer) {
        {
            const std::lock_guard lock(pending->mutex);
            if (!pending->abandoned) {
                pending->answer = answer;
                client->wake();
                return;
            }
        }
        // The request ended without being sent, so the key is released.
        if (const auto *ticket = std::get_if<ClaimTicket>(&answer))
            claims.record(*ticket, Execution::NotRun, 0);
    });
    while (true) {
        const auto remaining = context.deadline - m_services.clock.now();
        const bool connected = context.client->wait(std::max(remaining, Duration(0)));
        const std::lock_guard lock(pending->mutex);
        if (pending->answer) {
            if (const auto *error = std::get_if<RequestError>(&*pending->answer))
                return leaf::new_error(*error);
            context.ticket = std::get<ClaimTicket>(*pending->answer);
            return {};
        }
        if (connected && m_services.clock.now() < context.deadline)
            continue;
        pending->abandoned = true;
        return connected ? refuse(Reason::DeadlineExceeded, "the deadline passed before the claim")
                         : refuse(Reason::CallerGone, "the caller left");
    }
}

void ClaimFilter::finish(RequestContext &context)
{
    if (!context.ticket)
        return;
    if (context.answered) {
        StoredAnswer stored;
        stored.bodyHash = context.bodyHash;
        stored.status = context.answer.status;
        stored.headers = context.answer.headers;
        stored.body = context.streaming ? context.run->recorded() : context.answer.body;
        // The record of a stream is empty when the stream exceeded the record limit.
        const bool complete = !context.streaming || !stored.body.empty();
        if (complete && stored.body.size() <= m_services.settings.maxStoredAnswerBytes)
            m_services.answers.put(context.workspace->id, context.idempotencyKey, std::move(stored),
                                   m_services.clock.now());
    }
    m_services.claims.record(*context.ticket, context.execution,
                             context.answered ? context.answer.status : 0);
    context.ticket.reset();
}

} // namespace hawthornslip
