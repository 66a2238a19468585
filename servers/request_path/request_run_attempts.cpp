// The part of RequestRun that starts, retries and ends attempts.
#include "core/logger.h"
#include "core/metric_names.h"
#include "modules/retry/retry_policy.h"
#include "modules/versions/version_rule.h"
#include "servers/request_path/error_answer.h"
#include "servers/request_path/request_run.h"
#include "servers/request_path/upstream_message.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

void RequestRun::startAttempt()
{
    const auto now = m_services.clock.now();
    AdmissionParams admissionRequest;
    admissionRequest.request = m_context.id;
    admissionRequest.model = m_context.model;
    admissionRequest.workspace = m_context.workspace->id;
    admissionRequest.profile = *m_context.profile;
    admissionRequest.attempt = m_context.stats.attempts++;
    admissionRequest.waited = now - m_context.acceptedAt;
    admissionRequest.remaining = std::max(m_context.deadline - now, Duration(0));
    admissionRequest.promptTokens = m_context.promptTokens;
    admissionRequest.tokensDone = m_context.stats.tokens;
    admissionRequest.prefixHash = m_context.prefixHash;
    admissionRequest.excluded = m_excludedUpstreams;
    if (m_beganVersion) {
        const auto others =
                continuingUpstreams(*m_services.config.current(), m_context.model, *m_beganVersion)
                        .excluded;
        admissionRequest.excluded.insert(admissionRequest.excluded.end(), others.begin(),
                                         others.end());
    }
    auto attempt =
            std::make_shared<Attempt>(m_services.admission, m_services.clock, m_context.client,
                                      m_services.settings.relayBufferBytes);
    // The hedge timer starts only when an attempt is sent.
    m_hedgeDelay.reset();
    m_attempts.push_back(attempt);
    attempt->requestGrant(std::move(admissionRequest));
}

// Uses the current configuration: the group owner may know a newer one than this request's.
std::string RequestRun::urlOf(const Attempt &attempt) const
{
    const auto config = m_services.config.current();
    const auto *upstream = config->findUpstream(attempt.progress.grant.upstream);
    return upstream == nullptr ? std::string() : upstream->url;
}

std::string RequestRun::versionOf(const Attempt &attempt) const
{
    const auto config = m_services.config.current();
    const auto *upstream = config->findUpstream(attempt.progress.grant.upstream);
    return upstream == nullptr ? std::string() : upstream->softwareVersion;
}

bool RequestRun::mayGoOnElsewhere() const
{
    if (!m_beganVersion)
        return true;
    const auto upstreams =
            continuingUpstreams(*m_services.config.current(), m_context.model, *m_beganVersion);
    return std::ranges::any_of(upstreams.allowed, [this](const UpstreamId &it) {
        return std::ranges::find(m_excludedUpstreams, it) == m_excludedUpstreams.end();
    });
}

void RequestRun::failUnknownUpstream(const AttemptRef &attempt)
{
    AttemptFailure failure;
    failure.error = {Reason::NoUpstream, Execution::NotRun,
                     "the granted upstream is not in the configuration", seconds(1)};
    failure.result = AttemptResult::Unused;
    failure.exemptFromBudget = true;
    attemptFailed(attempt, failure);
}

void RequestRun::sendAttempt(const AttemptRef &attempt)
{
    const auto remaining = std::max(m_context.deadline - m_services.clock.now(), milliseconds(1));
    m_hedgeDelay.reset();
    if (idempotent() && !relayStarted() && m_hedge == nullptr && m_attempts.size() == 1 &&
        (m_context.stream || m_context.route == RouteKind::Application))
        m_hedgeDelay = m_services.retries.hedgeDelay(*m_context.profile);
    attempt->send(m_services.upstreams,
                  buildUpstreamRequest(m_context, urlOf(*attempt), m_services.settings,
                                       attempt->progress.tokensBefore, remaining));
}

// An answer without the id is accepted only with an error or redirect status: a server in front of
// the upstream may have sent it.
bool RequestRun::checkHeaderId(const AttemptRef &attempt)
{
    constexpr int kFirstNonSuccessStatus = 300;
    if (attempt->progress.idChecked)
        return true;
    attempt->progress.idChecked = true;
    const auto *id = findHeader(attempt->headers(), "x-request-id");
    if (id == nullptr ? attempt->status() >= kFirstNonSuccessStatus : *id == m_context.id.value)
        return true;
    countMismatches(1);
    attemptFailed(attempt, mismatchFailure());
    return false;
}

void RequestRun::countMismatches(std::uint32_t n)
{
    if (n == 0)
        return;
    m_services.metrics.count(metric::kMismatchedAnswers,
                             {{"profile", m_context.profile->name.value}}, n);
    logEvent(LogLevel::Warning, "answer_mismatch",
             {{"request_id", m_context.id.value}, {"dropped", n}});
}

void RequestRun::relayFrom(const AttemptRef &attempt)
{
    auto &progress = attempt->progress;
    if (progress.relayed)
        return;
    progress.relayed = true;
    if (!m_beganVersion)
        m_beganVersion = versionOf(*attempt);
    const auto now = m_services.clock.now();
    progress.timeToFirstToken = std::max(now - attempt->sentAt(), Duration(1));
    if (m_context.stats.timeToFirstToken.count() == 0)
        m_context.stats.timeToFirstToken = now - m_context.acceptedAt;
    m_hedgeDelay.reset();
    const auto attempts = m_attempts;
    for (const auto &it : attempts) {
        if (it == attempt)
            continue;
        remove(it);
        it->stop(AttemptResult::Cancelled);
    }
    if (m_hedge != nullptr)
        countHedge(attempt == m_hedge ? "won" : "lost");
}

void RequestRun::startStream(const AttemptRef &attempt)
{
    if (m_context.streaming)
        return;
    m_context.streaming = true;
    m_lastOutput = m_services.clock.now();
    m_context.answer.status = attempt->status();
    m_context.answer.headers = callerHeaders(m_context, attempt->headers());
    if (m_context.route == RouteKind::Language)
        m_context.answer.headers.emplace_back("Cache-Control", "no-cache");
}

void RequestRun::attemptFailed(const AttemptRef &attempt, const AttemptFailure &failure)
{
    const auto result = failure.result;
    const auto grant = attempt->progress.grant;
    remove(attempt);
    m_mayHaveRun = m_mayHaveRun || failure.error.execution != Execution::NotRun;
    m_lastError = failure.error;
    m_excludedUpstreams.push_back(grant.upstream);
    if (attempt == m_hedge)
        countHedge("failed");
    attempt->stop(result);
    if (!m_attempts.empty())
        return;
    if (!mayGoOnElsewhere() || !mayRetry(failure)) {
        fail(failure.error);
        return;
    }
    ++m_retries;
    m_services.metrics.count(metric::kRetries, {{"profile", m_context.profile->name.value},
                                                {"reason", nameOf(failure.error.reason)}});
    startAttempt();
}

bool RequestRun::mayRetry(const AttemptFailure &failure)
{
    FailedAttempt failed;
    failed.certainlyNotRun = failure.error.execution == Execution::NotRun && !m_mayHaveRun;
    failed.attempts = m_retries + 1;
    failed.maxAttempts = m_services.settings.maxRetries + 1;
    failed.resumable = mayResume();
    failed.tokensRelayed = relayStarted() ? std::max(m_context.stats.tokens, 1U) : 0;
    failed.remaining = m_context.deadline - m_services.clock.now();
    if (RetryPolicy::decide(*m_context.profile, failed) == RetryDecision::Stop)
        return false;
    return failure.exemptFromBudget ||
           m_services.retries.take(*m_context.profile, m_services.clock.now());
}

// Whether the relay of a stream to the caller has started.
bool RequestRun::relayStarted() const
{
    return m_context.streaming;
}

bool RequestRun::mayResume() const
{
    return idempotent() && m_context.profile->resumable && m_context.stream &&
           m_context.route == RouteKind::Language;
}

void RequestRun::succeed(const AttemptRef &attempt)
{
    remove(attempt);
    attempt->complete();
    m_done = true;
    m_context.answered = true;
    // A server error shows that the upstream received the request, not whether it ran it.
    constexpr int kFirstServerErrorStatus = 500;
    m_context.execution =
            attempt->status() < kFirstServerErrorStatus ? Execution::Ran : Execution::MayHaveRun;
    // Samples of hedged requests would lower the quantile from which the hedge delay is derived.
    const auto timeToFirstToken =
            m_hedge == nullptr ? attempt->progress.timeToFirstToken : Duration(0);
    m_services.retries.succeeded(*m_context.profile, timeToFirstToken, m_services.clock.now());
}

void RequestRun::fail(RequestError error)
{
    m_mayHaveRun = m_mayHaveRun || anySent();
    stopAll(error.reason == Reason::DeadlineExceeded ? AttemptResult::TimedOut
                                                     : AttemptResult::Cancelled);
    error.execution = m_mayHaveRun ? Execution::MayHaveRun : Execution::NotRun;
    m_context.execution = error.execution;
    m_context.reason = error.reason;
    m_context.stats.wastedTokens = m_context.stats.tokens;
    m_done = true;
    if (m_context.streaming) {
        if (m_context.route == RouteKind::Language)
            m_output.appendUnrecorded(errorEvent(error, m_context.id));
        else
            m_streamBroken = true;
    }
    m_error = std::move(error);
}

void RequestRun::stopAll(AttemptResult result)
{
    const auto attempts = std::exchange(m_attempts, {});
    for (const auto &it : attempts)
        it->stop(result);
}

void RequestRun::remove(const AttemptRef &attempt)
{
    m_attempts.erase(std::remove(m_attempts.begin(), m_attempts.end(), attempt), m_attempts.end());
}

bool RequestRun::isActive(const AttemptRef &attempt) const
{
    return std::find(m_attempts.begin(), m_attempts.end(), attempt) != m_attempts.end();
}

bool RequestRun::anySent() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(),
                       [](const AttemptRef &it) { return it->phase() == Attempt::Phase::Sent; });
}

bool RequestRun::isEventStream(const Attempt &attempt) const
{
    constexpr int kOk = 200;
    if (m_context.route != RouteKind::Language || !m_context.stream || attempt.status() != kOk)
        return false;
    const auto *type = findHeader(attempt.headers(), "content-type");
    return type != nullptr && type->starts_with("text/event-stream");
}

void RequestRun::hedgeIfDue()
{
    if (!m_hedgeDelay || m_attempts.size() != 1 ||
        m_attempts.front()->phase() != Attempt::Phase::Sent ||
        m_services.clock.now() < m_attempts.front()->sentAt() + *m_hedgeDelay)
        return;
    m_hedgeDelay.reset();
    if (!m_services.retries.take(*m_context.profile, m_services.clock.now()))
        return;
    const auto excluded = m_excludedUpstreams;
    m_excludedUpstreams.push_back(m_attempts.front()->progress.grant.upstream);
    startAttempt();
    // Only the hedge excludes the first upstream; a later attempt may use it, as it has not failed.
    m_excludedUpstreams = excluded;
    m_hedge = m_attempts.back();
    countHedge("started");
}

void RequestRun::countHedge(std::string_view result)
{
    m_services.metrics.count(metric::kHedges,
                             {{"profile", m_context.profile->name.value}, {"result", result}});
}

} // namespace hawthornslip
