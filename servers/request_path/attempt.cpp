#include "servers/request_path/attempt.h"

#include <utility>

namespace hawthornslip {

Attempt::Attempt(AdmissionGateway &admission, const Clock &clock,
                 std::shared_ptr<HttpClientConnection> clientLink, std::size_t bufferBytes)
    : m_admission(admission)
    , m_clock(clock)
    , m_clientLink(std::move(clientLink))
    , m_bufferBytes(bufferBytes)
{}

void Attempt::requestGrant(AdmissionParams admissionRequest)
{
    m_admissionRequest = admissionRequest;
    progress.tokensBefore = admissionRequest.tokensDone;
    progress.reader.begin(admissionRequest.request.value, admissionRequest.tokensDone);
    m_admission.request(
            std::move(admissionRequest),
            [self = shared_from_this()](const AdmissionAnswer &answer) {
                self->onAdmissionAnswer(answer);
            },
            [weak = weak_from_this()] {
                const auto self = weak.lock();
                if (!self)
                    return;
                {
                    const std::lock_guard lock(self->m_mutex);
                    self->m_update.preempted = true;
                }
                self->m_clientLink->wake();
            });
}

void Attempt::onAdmissionAnswer(const AdmissionAnswer &answer)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_abandoned) {
            m_update.admission = answer;
            m_clientLink->wake();
            return;
        }
    }
    // The attempt was stopped before the grant arrived.
    if (const auto *grant = std::get_if<AdmissionGrant>(&answer)) {
        AttemptReport report;
        report.grant = *grant;
        report.workspace = m_admissionRequest.workspace;
        report.profile = m_admissionRequest.profile.name;
        m_admission.release(report);
    }
}

void Attempt::send(UpstreamClient &client, UpstreamRequest request)
{
    m_phase = Phase::Sent;
    m_sentAt = m_clock.now();
    m_call = client.send(std::move(request), shared_from_this());
}

AttemptUpdate Attempt::takeUpdate()
{
    AttemptUpdate update;
    bool resume = false;
    {
        const std::lock_guard lock(m_mutex);
        std::swap(update, m_update);
        resume = std::exchange(m_paused, false);
    }
    if (resume)
        m_call->resume();
    progress.preempted = progress.preempted || update.preempted;
    if (update.admission) {
        if (const auto *grant = std::get_if<AdmissionGrant>(&*update.admission)) {
            progress.grant = *grant;
            m_phase = Phase::Granted;
        } else {
            m_phase = Phase::Stopped;
        }
    }
    return update;
}

void Attempt::stop(AttemptResult result)
{
    if (m_phase == Phase::Stopped)
        return;
    if (m_phase == Phase::AwaitingGrant) {
        bool granted = false;
        {
            const std::lock_guard lock(m_mutex);
            m_abandoned = true;
            if (m_update.admission) {
                const auto *grant = std::get_if<AdmissionGrant>(&*m_update.admission);
                granted = grant != nullptr;
                if (granted)
                    progress.grant = *grant;
            }
        }
        m_admission.cancel(m_admissionRequest.request, m_admissionRequest.attempt);
        if (granted)
            release(AttemptResult::Unused);
    } else {
        if (m_call)
            m_call->cancel();
        release(m_call ? result : AttemptResult::Unused);
    }
    m_phase = Phase::Stopped;
}

void Attempt::complete()
{
    if (m_phase == Phase::Stopped)
        return;
    release(AttemptResult::Complete);
    m_phase = Phase::Stopped;
}

void Attempt::release(AttemptResult result)
{
    AttemptReport report;
    report.grant = progress.grant;
    report.result = result;
    report.workspace = m_admissionRequest.workspace;
    report.profile = m_admissionRequest.profile.name;
    report.tokens = progress.tokens;
    report.firstToken = progress.timeToFirstToken;
    if (m_call)
        report.duration = m_clock.now() - m_sentAt;
    m_admission.release(report);
}

void Attempt::reportProgress(Duration interval)
{
    const auto now = m_clock.now();
    const bool first = progress.reportedAt == TimePoint{};
    if (!first && now - progress.reportedAt < interval)
        return;
    progress.reportedAt = now;
    m_admission.progress(progress.grant, progress.tokens, progress.timeToFirstToken);
}

int Attempt::status() const
{
    const std::lock_guard lock(m_mutex);
    return m_status;
}

void Attempt::onHeaders(int httpStatus, const HttpHeaders &headers)
{
    const std::lock_guard lock(m_mutex);
    m_headers = headers;
    m_status = httpStatus;
}

bool Attempt::onData(std::string_view piece)
{
    {
        const std::lock_guard lock(m_mutex);
        // An empty buffer accepts any piece: one above the bound would otherwise never be accepted.
        if (!m_update.data.empty() && m_update.data.size() + piece.size() > m_bufferBytes) {
            m_paused = true;
            return false;
        }
        m_update.data.append(piece);
    }
    m_clientLink->wake();
    return true;
}

void Attempt::onEnd(const UpstreamEnd &end)
{
    {
        const std::lock_guard lock(m_mutex);
        m_update.end = end;
    }
    m_clientLink->wake();
}

} // namespace hawthornslip
