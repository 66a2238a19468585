#include "servers/duties/duty_service.h"

#include "core/logger.h"
#include "core/metric_names.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace hawthornslip {

namespace {

constexpr std::string_view kLeaseName = "duties";

} // namespace

DutyService::DutyService(DutyServiceParts parts, NodeId self, std::uint64_t incarnation,
                         Duration lease, std::function<bool()> isContender)
    : m_parts(parts)
    , m_election(std::move(self), incarnation, lease, parts.loop.now())
    , m_interval(lease / 3)
    , m_isContender(std::move(isContender))
{}

void DutyService::start()
{
    tick();
}

void DutyService::stop()
{
    m_stopping = true;
    performAll(m_election.setWanted(false, m_parts.loop.now()));
}

void DutyService::enterEra(std::uint64_t era)
{
    performAll(m_election.enterEra(era, m_parts.loop.now()));
}

std::optional<DutyTerm> DutyService::current(TimePoint now) const
{
    return m_stopping ? std::nullopt : m_election.current(now);
}

void DutyService::onSuperseded(std::uint64_t generation, TimePoint now)
{
    logEvent(LogLevel::Warning, "duties_superseded", {{"generation", generation}});
    m_election.onSuperseded(generation, now);
    performAll(m_election.wake(now));
}

void DutyService::tick()
{
    if (m_stopping)
        return;
    // A holder keeps the duties while it renews its lease, also when others rank before it.
    const TimePoint now = m_parts.loop.now();
    performAll(m_election.setWanted(m_election.current(now).has_value() || m_isContender(), now));
    m_parts.loop.after(m_interval, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            tick();
    });
}

std::string DutyService::leaseKey() const
{
    return fmt::format("router-duties/holder-{}", m_election.era());
}

void DutyService::performAll(const LeaseActions &actions)
{
    for (const auto &it : actions)
        std::visit([this](const auto &action) { perform(action); }, it);
}

void DutyService::perform(const ReadLease &action)
{
    m_parts.store.get(leaseKey(), [this, alive = std::weak_ptr(m_alive), era = m_election.era(),
                                   operation = action.operation](const StoreResult &result) {
        // Another era counts its calls anew.
        if (!alive.expired() && m_election.era() == era)
            performAll(m_election.onRead(operation, result, m_parts.loop.now()));
    });
}

void DutyService::perform(const WriteLease &action)
{
    m_parts.store.put(leaseKey(), encodeLease(action.record), action.expectedVersion,
                      [this, alive = std::weak_ptr(m_alive), era = m_election.era(),
                       operation = action.operation](const StoreResult &result) {
                          if (!alive.expired() && m_election.era() == era)
                              performAll(
                                      m_election.onWritten(operation, result, m_parts.loop.now()));
                      });
}

void DutyService::perform(const LeaseAcquired &action)
{
    logEvent(LogLevel::Info, "duties_acquired",
             {{"generation", action.fencing}, {"era", m_election.era()}});
    m_parts.metrics.count(metric::kLeases, {{"lease", kLeaseName}, {"result", "acquired"}});
}

void DutyService::perform(const LeaseLost &action)
{
    logEvent(LogLevel::Info, "duties_lost", {{"generation", action.fencing}});
    m_parts.metrics.count(metric::kLeases, {{"lease", kLeaseName}, {"result", "lost"}});
}

void DutyService::perform(const WakeLease &action)
{
    scheduleWake(action.at);
}

void DutyService::scheduleWake(TimePoint at)
{
    const TimePoint now = m_parts.loop.now();
    if (m_wakeTimer != 0 && m_wakeAt <= at && m_wakeAt > now)
        return;
    m_parts.loop.cancel(m_wakeTimer);
    m_wakeAt = at;
    m_wakeTimer = m_parts.loop.after(std::max(at - now, Duration(0)),
                                     [this, alive = std::weak_ptr(m_alive)] {
                                         if (alive.expired())
                                             return;
                                         m_wakeTimer = 0;
                                         performAll(m_election.wake(m_parts.loop.now()));
                                     });
}

} // namespace hawthornslip
