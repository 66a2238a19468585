#include "modules/duties/duty_election.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hawthornslip {

namespace {

// Bits of a generation that count the terms of one era; the sum stays exact as a JSON number.
constexpr unsigned kTermBits = 24;

std::uint64_t firstGeneration(std::uint64_t era)
{
    return (era << kTermBits) + 1;
}

LeaseOptions leaseOptions(Duration lease)
{
    LeaseOptions options;
    options.duration = lease;
    options.renewInterval = lease / 3;
    options.readInterval = lease / 3;
    options.clockDriftMargin = lease / 10;
    options.retryInterval = lease / 10;
    // A renewal that gets no answer is tried once more before the term ends.
    options.operationTimeout = lease / 4;
    return options;
}

LeaseManager makeManager(const NodeId &self, std::uint64_t incarnation, Duration lease,
                         std::uint64_t era)
{
    LeaseManager manager(self, incarnation, leaseOptions(lease));
    manager.setFirstFencing(firstGeneration(era));
    return manager;
}

} // namespace

DutyElection::DutyElection(NodeId self, std::uint64_t incarnation, Duration lease, TimePoint now)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_lease(lease)
    , m_manager(makeManager(m_self, incarnation, lease, 0))
    , m_competesFrom(now + lease)
{}

LeaseActions DutyElection::setWanted(bool wanted, TimePoint now)
{
    m_wanted = wanted;
    return updateWanted(now);
}

LeaseActions DutyElection::onRead(std::uint64_t operation, const StoreResult &result, TimePoint now)
{
    if (result.era && *result.era > m_era)
        return enterEra(*result.era, now);
    const auto record = result.ok() ? decodeLease(result.object.value) : std::nullopt;
    return apply(m_manager.read(operation, result.error, record, result.object.version, now), now);
}

LeaseActions DutyElection::onWritten(std::uint64_t operation, const StoreResult &result,
                                     TimePoint now)
{
    if (result.era && *result.era > m_era)
        return enterEra(*result.era, now);
    return apply(m_manager.written(operation, result.error, result.object.version, now), now);
}

LeaseActions DutyElection::wake(TimePoint now)
{
    auto actions = updateWanted(now);
    auto more = apply(m_manager.wake(now), now);
    actions.insert(actions.end(), std::make_move_iterator(more.begin()),
                   std::make_move_iterator(more.end()));
    return actions;
}

LeaseActions DutyElection::enterEra(std::uint64_t era, TimePoint now)
{
    if (era <= m_era)
        return {};
    LeaseActions actions;
    if (const auto held = m_manager.held(now))
        actions.emplace_back(LeaseLost{held->fencing});
    // The holder of the earlier era may act until its own lease ends.
    if (m_era != 0 || !actions.empty())
        backOff(now);
    m_era = era;
    m_manager = makeManager(m_self, m_incarnation, m_lease, era);
    auto more = updateWanted(now);
    actions.insert(actions.end(), std::make_move_iterator(more.begin()),
                   std::make_move_iterator(more.end()));
    return actions;
}

std::optional<DutyTerm> DutyElection::current(TimePoint now) const
{
    const auto held = m_manager.held(now);
    if (!held || held->fencing <= m_endedGeneration)
        return std::nullopt;
    return DutyTerm{held->fencing, held->usableUntil};
}

void DutyElection::onSuperseded(std::uint64_t generation, TimePoint now)
{
    m_endedGeneration = std::max(m_endedGeneration, generation);
    backOff(now);
}

LeaseActions DutyElection::apply(LeaseActions actions, TimePoint now)
{
    const bool isLost = std::any_of(actions.begin(), actions.end(), [](const auto &it) {
        return std::holds_alternative<LeaseLost>(it);
    });
    if (!isLost)
        return actions;
    backOff(now);
    auto more = updateWanted(now);
    actions.insert(actions.end(), std::make_move_iterator(more.begin()),
                   std::make_move_iterator(more.end()));
    return actions;
}

void DutyElection::backOff(TimePoint now)
{
    m_competesFrom = std::max(m_competesFrom, now + m_lease);
}

LeaseActions DutyElection::updateWanted(TimePoint now)
{
    auto actions = m_manager.setWanted(m_wanted && now >= m_competesFrom, now);
    if (m_wanted && now < m_competesFrom)
        actions.emplace_back(WakeLease{m_competesFrom});
    return actions;
}

} // namespace hawthornslip
