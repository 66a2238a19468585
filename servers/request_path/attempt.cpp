#include "servers/request_path/attempt.h"

#include <utility>

namespace hawthornslip {

Attempt::Attempt(AdmissionGateway &admission, const Clock &clock,
                 std::shared_ptr<HttpClientLink> waker, std::size_t bufferBytes)
    : m_admission(admission)
    , m_clock(clock)
    , m_waker(std::move(waker))
    , m_bufferBytes(bufferBytes)
{}

void Attempt::ask(AdmissionParams ask)
{
    m_ask = ask;
    progress.tokensBefore = ask.tokensDone;
    progress.reader.begin(ask.request.value, ask.tokensDone);
    m_admission.request(
            std::move(ask),
            [self = shared_from_this()](const AdmissionAnswer &answer) { self->answered(answer); },
            [weak = weak_from_this()] {
                const auto self = weak.lock();
                if (!self)
                    return;
                {
                    const std::lock_guard lock(self->m_mutex);
                    self->m_news.preempted = true;
                }
                self->m_waker->wake();
            });
}

void Attempt::answered(const AdmissionAnswer &answer)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_abandoned) {
            m_news.admission = answer;
            m_waker->wake();
            return;
        }
    }
    // The request was withdrawn while the grant was on its way.
    if (const auto *grant = std::get_if<AdmissionGrant>(&answer)) {
        AttemptReport report;
        report.grant = *grant;
        report.workspace = m_ask.workspace;
        report.profile = m_ask.profile.name;
        m_admission.release(report);
    }
}

void Attempt::send(UpstreamClient &client, UpstreamRequest request)
{
    m_phase = Phase::Sent;
    m_sentAt = m_clock.now();
    m_call = client.send(std::move(request), shared_from_this());
}

AttemptNews Attempt::takeNews()
{
    AttemptNews news;
    bool resume = false;
    {
        const std::lock_guard lock(m_mutex);
        std::swap(news, m_news);
        resume = std::exchange(m_paused, false);
    }
    if (resume)
        m_call->resume();
    progress.preempted = progress.preempted || news.preempted;
    if (news.admission) {
        if (const auto *grant = std::get_if<AdmissionGrant>(&*news.admission)) {
            progress.grant = *grant;
            m_phase = Phase::Granted;
        } else {
            m_phase = Phase::Stopped;
        }
    }
    return news;
}

void Attempt::stop(AttemptResult result)
{
    if (m_phase == Phase::Stopped)
        return;
    if (m_phase == Phase::Asking) {
        bool granted = false;
        {
            const std::lock_guard lock(m_mutex);
            m_abandoned = true;
            if (m_news.admission) {
                const auto *grant = std::get_if<AdmissionGrant>(&*m_news.admission);
                granted = grant != nullptr;
                if (granted)
                    progress.grant = *grant;
            }
        }
        m_admission.cancel(m_ask.request, m_ask.attempt);
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
    report.workspace = m_ask.workspace;
    report.profile = m_ask.profile.name;
    report.tokens = progress.tokens;
    report.firstToken = progress.firstToken;
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
    m_admission.progress(progress.grant, progress.tokens, progress.firstToken);
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
        // An empty buffer takes any piece, so that a piece above the bound is not refused for ever.
        if (!m_news.data.empty() && m_news.data.size() + piece.size() > m_bufferBytes) {
            m_paused = true;
            return false;
        }
        m_news.data.append(piece);
    }
    m_waker->wake();
    return true;
}

void Attempt::onEnd(const UpstreamEnd &end)
{
    {
        const std::lock_guard lock(m_mutex);
        m_news.end = end;
    }
    m_waker->wake();
}

} // namespace hawthornslip
