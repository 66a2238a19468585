#include "servers/request_path/request_run.h"

#include "core/http_status.h"
#include "core/metric_names.h"
#include "servers/request_path/error_answer.h"
#include "servers/request_path/event_scanner.h"
#include "servers/request_path/upstream_message.h"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <utility>

namespace leaf = boost::leaf;

namespace hawthornslip {

namespace {

RequestError notRunError(Reason reason, std::string message)
{
    return {reason, Execution::NotRun, std::move(message), Duration(0)};
}

} // namespace

RequestRun::RequestRun(RequestContext &context, const PathServices &services)
    : m_context(context)
    , m_services(services)
{
    if (context.ticket)
        m_output.setRecordLimit(services.settings.maxStoredAnswerBytes);
}

RequestRun::~RequestRun()
{
    stopAll(AttemptResult::Cancelled);
}

leaf::result<void> RequestRun::admit()
{
    const auto requestedAt = m_services.clock.now();
    startAttempt();
    while (true) {
        processUpdates();
        if (m_done)
            return errorResult();
        if (m_attempts.front()->phase() == Attempt::Phase::Granted)
            break;
        waitForUpdate(untilNextTimer());
    }
    m_context.stats.queueWait = m_services.clock.now() - requestedAt;
    return {};
}

leaf::result<void> RequestRun::select()
{
    while (!m_done) {
        const auto attempt = m_attempts.front();
        if (attempt->phase() == Attempt::Phase::Granted) {
            if (!urlOf(*attempt).empty())
                return {};
            failUnknownUpstream(attempt);
            continue;
        }
        processUpdates();
        if (!m_done && m_attempts.front()->phase() != Attempt::Phase::Granted)
            waitForUpdate(untilNextTimer());
    }
    return errorResult();
}

leaf::result<void> RequestRun::send()
{
    m_sendOnGrant = true;
    sendAttempt(m_attempts.front());
    return {};
}

leaf::result<void> RequestRun::awaitAnswer()
{
    while (true) {
        processUpdates();
        if (m_context.streaming)
            return {};
        if (m_done)
            return m_error ? errorResult() : leaf::result<void>();
        waitForUpdate(untilNextTimer());
    }
}

HttpBodyRead RequestRun::read(char *buffer, std::size_t size)
{
    const bool comments = m_context.route == RouteKind::Language;
    while (m_output.empty()) {
        if (m_done)
            return {m_streamBroken ? HttpBodyRead::State::Broken : HttpBodyRead::State::End, 0};
        processUpdates();
        if (m_done || !m_output.empty())
            continue;
        auto wait = untilNextTimer();
        if (comments) {
            const auto now = m_services.clock.now();
            const auto untilComment = m_lastOutput + m_services.settings.commentInterval - now;
            if (untilComment.count() <= 0) {
                m_output.appendUnrecorded(": waiting\n\n");
                m_lastOutput = now;
                break;
            }
            wait = std::min(wait, untilComment);
        }
        waitForUpdate(wait);
    }
    return {HttpBodyRead::State::More, m_output.take(buffer, size)};
}

void RequestRun::finish()
{
    m_callerGone = true;
    while (!m_done && continuesWithoutCaller()) {
        processUpdates();
        m_output.drop();
        if (!m_done)
            waitForUpdate(untilNextTimer());
    }
    if (!m_done)
        onCallerDisconnected();
}

void RequestRun::waitForUpdate(Duration atMost)
{
    if (m_context.client->wait(atMost) || m_callerGone)
        return;
    m_callerGone = true;
    if (!continuesWithoutCaller())
        onCallerDisconnected();
}

void RequestRun::onCallerDisconnected()
{
    fail(notRunError(Reason::CallerGone, "the caller left"));
    m_streamBroken = true;
}

// Once sent, a request with a claim runs to its end, so that its outcome is recorded.
bool RequestRun::continuesWithoutCaller() const
{
    return m_context.ticket && (m_mayHaveRun || anySent());
}

Duration RequestRun::untilNextTimer() const
{
    auto next = m_context.deadline;
    if (m_hedgeDelay && m_attempts.size() == 1)
        next = std::min(next, m_attempts.front()->sentAt() + *m_hedgeDelay);
    return std::max(next - m_services.clock.now(), Duration(0));
}

leaf::result<void> RequestRun::errorResult() const
{
    return leaf::new_error(m_error.value_or(RequestError{}));
}

void RequestRun::processUpdates()
{
    const auto attempts = m_attempts;
    for (const auto &it : attempts) {
        if (!m_done && isActive(it))
            processAttempt(it);
    }
    if (!m_done && m_services.clock.now() >= m_context.deadline)
        fail(notRunError(Reason::DeadlineExceeded, "the deadline passed"));
    if (!m_done)
        hedgeIfDue();
}

void RequestRun::processAttempt(const AttemptRef &attempt)
{
    const auto update = attempt->takeUpdate();
    if (update.admission) {
        if (const auto *refusal = std::get_if<RequestError>(&*update.admission)) {
            onAdmissionRefused(attempt, *refusal);
            return;
        }
    }
    if (attempt->phase() == Attempt::Phase::Granted && m_sendOnGrant) {
        if (urlOf(*attempt).empty())
            failUnknownUpstream(attempt);
        else
            sendAttempt(attempt);
    }
    if (attempt->phase() != Attempt::Phase::Sent ||
        (attempt->status() != 0 && !checkHeaderId(attempt)))
        return;
    if (!update.data.empty()) {
        if (isEventStream(*attempt))
            onEventData(attempt, update.data);
        else
            onBodyData(attempt, update.data);
    }
    if (m_done || !isActive(attempt))
        return;
    if (update.end)
        onEnd(attempt, *update.end);
    else if (attempt->progress.preempted)
        onPreempt(attempt);
}

void RequestRun::onAdmissionRefused(const AttemptRef &attempt, const RequestError &refusal)
{
    remove(attempt);
    if (attempt == m_hedge)
        countHedge("refused");
    // The error of the failed attempt tells more than the refusal of its retry.
    if (m_attempts.empty())
        fail(m_lastError.value_or(refusal));
}

void RequestRun::onEnd(const AttemptRef &attempt, const UpstreamEnd &end)
{
    if (end.result != UpstreamResult::Complete)
        attemptFailed(attempt, failureOf(end));
    else if (isEventStream(*attempt))
        attemptFailed(attempt, truncationFailure());
    else
        onBodyComplete(attempt);
}

void RequestRun::onPreempt(const AttemptRef &attempt)
{
    if (!idempotent() || (relayStarted() && !mayResume()))
        return;
    m_services.metrics.count(metric::kPreemptions, {{"profile", m_context.profile->name.value}});
    remove(attempt);
    m_mayHaveRun = true;
    attempt->stop(AttemptResult::Preempted);
    if (m_attempts.empty())
        startAttempt();
}

void RequestRun::onEventData(const AttemptRef &attempt, const std::string &data)
{
    auto &progress = attempt->progress;
    const auto result = progress.reader.read(data, mayResume());
    countMismatches(result.mismatches);
    if (result.started || result.done) {
        relayFrom(attempt);
        startStream(attempt);
    }
    m_output.append(result.text);
    if (!result.text.empty())
        m_lastOutput = m_services.clock.now();
    progress.tokens += result.tokens;
    m_context.stats.tokens += result.tokens;
    if (result.tokens > 0)
        attempt->reportProgress(m_services.settings.progressInterval);
    if (result.done)
        succeed(attempt);
    else if (result.broken)
        attemptFailed(attempt, result.mismatches > 0 ? mismatchFailure() : truncationFailure());
}

void RequestRun::onBodyData(const AttemptRef &attempt, const std::string &data)
{
    auto &progress = attempt->progress;
    if (progress.relayed) {
        m_output.append(data);
        return;
    }
    progress.pending += data;
    if (m_context.route == RouteKind::Application && !impliesNotRun(attempt->status()) &&
        progress.pending.size() >= m_services.settings.relayBufferBytes) {
        relayFrom(attempt);
        startStream(attempt);
        m_output.append(std::exchange(progress.pending, {}));
    } else if (progress.pending.size() > m_services.settings.maxAnswerBytes) {
        auto failure = truncationFailure();
        failure.error.message = "the answer is larger than the router accepts";
        attemptFailed(attempt, failure);
    }
}

void RequestRun::onBodyComplete(const AttemptRef &attempt)
{
    if (attempt->progress.relayed) {
        succeed(attempt);
        return;
    }
    if (relayStarted()) {
        // The caller has part of a stream, which no other body continues.
        attemptFailed(
                attempt,
                failureOf(attempt->status(), attempt->headers()).value_or(truncationFailure()));
        return;
    }
    const bool language = m_context.route == RouteKind::Language;
    if (const auto failure = failureOf(attempt->status(), attempt->headers())) {
        // An application's own error answer is relayed unless it is a refusal, has a status that
        // promises one, or a retry is left; the retry budget is not checked here.
        const bool refused =
                failure->error.execution == Execution::NotRun || impliesNotRun(attempt->status());
        if (language || refused || (idempotent() && m_retries < m_services.settings.maxRetries)) {
            attemptFailed(attempt, *failure);
            return;
        }
    }
    auto &body = attempt->progress.pending;
    if (language) {
        const auto fields = scanEvent(body);
        if (!fields.id.empty() && fields.id != m_context.id.value) {
            countMismatches(1);
            attemptFailed(attempt, mismatchFailure());
            return;
        }
        attempt->progress.tokens = fields.completionTokens.value_or(0);
        m_context.stats.tokens = attempt->progress.tokens;
    }
    relayFrom(attempt);
    m_context.answer.status = attempt->status();
    m_context.answer.headers = callerHeaders(m_context, attempt->headers());
    m_context.answer.body = std::move(body);
    m_context.stats.bytes = m_context.answer.body.size();
    succeed(attempt);
}

} // namespace hawthornslip
