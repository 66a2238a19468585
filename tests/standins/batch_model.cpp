#include "tests/standins/batch_model.h"

#include <algorithm>

namespace hawthornslip::standin {

namespace {

/** A process that was descheduled for longer than this loses the steps instead of bunching them. */
constexpr Duration kMaxCatchUp = milliseconds(100);

} // namespace

BatchModel::BatchModel(BatchSpec spec)
    : m_spec(spec)
{}

Duration BatchModel::stepTime() const
{
    const auto plain = m_spec.step(running());
    return Duration(static_cast<Duration::rep>(static_cast<double>(plain.count()) * m_straggle));
}

bool BatchModel::submit(TimePoint now, const BatchJob &job)
{
    if (m_queuedCount >= m_spec.maxQueue && running() >= m_spec.slots)
        return false;
    m_queue[job.priority].push_back(job);
    ++m_queuedCount;
    const bool idle = m_running.empty();
    admit(now, m_pending);
    if (idle && !m_running.empty())
        m_nextStep = now + stepTime();
    return true;
}

void BatchModel::admit(TimePoint now, std::vector<BatchEvent> &events)
{
    for (auto it = m_queue.begin(); it != m_queue.end() && running() < m_spec.slots;) {
        if (it->second.empty()) {
            it = m_queue.erase(it);
            continue;
        }
        const BatchJob job = it->second.front();
        it->second.pop_front();
        --m_queuedCount;
        const auto prefill = Duration(
                static_cast<Duration::rep>(static_cast<double>(job.prefill.count()) * m_straggle));
        m_running.push_back({job, job.firstToken, now + prefill});
        events.push_back({BatchEvent::Kind::Started, job.handle, 0});
    }
}

bool BatchModel::cancel(std::uint64_t handle)
{
    const auto same = [handle](const Running &it) { return it.job.handle == handle; };
    if (std::erase_if(m_running, same) > 0)
        return true;
    for (auto &[priority, jobs] : m_queue) {
        const auto n =
                std::erase_if(jobs, [handle](const BatchJob &job) { return job.handle == handle; });
        m_queuedCount -= static_cast<std::uint32_t>(n);
        if (n > 0)
            return true;
    }
    return false;
}

void BatchModel::clear()
{
    m_running.clear();
    m_queue.clear();
    m_pending.clear();
    m_queuedCount = 0;
}

void BatchModel::step(std::vector<BatchEvent> &events)
{
    for (auto &it : m_running) {
        if (it.prefillEnd > m_nextStep)
            continue;
        if (it.next < it.job.tokens)
            events.push_back({BatchEvent::Kind::Token, it.job.handle, it.next++});
        if (it.next >= it.job.tokens)
            events.push_back({BatchEvent::Kind::Finished, it.job.handle, it.next});
    }
    std::erase_if(m_running, [this](const Running &it) {
        return it.prefillEnd <= m_nextStep && it.next >= it.job.tokens;
    });
    admit(m_nextStep, events);
    m_nextStep += stepTime();
}

std::vector<BatchEvent> BatchModel::advance(TimePoint now)
{
    std::vector<BatchEvent> events;
    events.swap(m_pending);
    if (m_paused)
        return events;
    if (m_running.empty() && m_queuedCount > 0) {
        admit(now, events);
        m_nextStep = now + stepTime();
    }
    if (now - m_nextStep > kMaxCatchUp)
        m_nextStep = now;
    while (!m_running.empty() && m_nextStep <= now)
        step(events);
    return events;
}

std::optional<TimePoint> BatchModel::nextDue() const
{
    if (m_paused || (m_running.empty() && m_queuedCount == 0 && m_pending.empty()))
        return std::nullopt;
    return m_pending.empty() && !m_running.empty() ? m_nextStep : TimePoint{};
}

void BatchModel::setPaused(TimePoint now, bool paused)
{
    m_paused = paused;
    if (!paused)
        m_nextStep = now + stepTime();
}

} // namespace hawthornslip::standin
