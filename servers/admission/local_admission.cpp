#include "servers/admission/local_admission.h"

#include "modules/admission/scheduler_factory.h"
#include "servers/admission/admission_codec.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hawthornslip {

LocalAdmission::LocalAdmission(AdmissionWorld &world, Handler handler)
    : m_world(world)
    , m_handler(std::move(handler))
{}

double LocalAdmission::share() const
{
    const auto nodes = std::max<std::size_t>(1, m_world.membership.liveNodes().size());
    return 1.0 / static_cast<double>(nodes);
}

void LocalAdmission::apply(const GroupId &group, const SchedulerActions &actions)
{
    for (const auto &it : actions)
        m_handler(group, it);
}

void LocalAdmission::start(const GroupId &group, const GrantReportEvent &held, TimePoint now)
{
    SchedulerOptions options;
    const std::string text = fmt::format("{}|{}|{}|alone{}", m_world.self.value,
                                         m_world.incarnation, group.toString(), ++m_schedulersMade);
    options.grantPrefix = fmt::format("{:016x}-", XXH3_64bits(text.data(), text.size()));
    auto scheduler = makeScheduler(m_world.policy, options);
    scheduler->onCapacityShare(share(), now);
    scheduler->onUpstreams(m_world.directory.upstreamsOf(group), now);
    scheduler->onGrantReport(held, now);
    m_groups[group] = std::move(scheduler);
}

void LocalAdmission::ask(const GroupId &group, const AdmissionAsk &ask, Duration passed,
                         TimePoint now)
{
    const double weight = admission::weightOf(*m_world.config, ask.workspace);
    const auto event = admission::toEvent(ask, m_world.self, passed, weight);
    apply(group, m_groups.at(group)->onAdmissionRequest(event, now));
}

void LocalAdmission::cancel(const RequestId &request, TimePoint now)
{
    for (auto &[group, scheduler] : m_groups)
        apply(group, scheduler->onCancel(request, now));
}

void LocalAdmission::release(const AttemptReport &report, TimePoint now)
{
    const auto it = m_groups.find(report.grant.group);
    if (it != m_groups.end())
        apply(it->first, it->second->onRelease(admission::toEvent(report), now));
}

void LocalAdmission::onTick(TimePoint now)
{
    for (auto &[group, scheduler] : m_groups)
        apply(group, scheduler->onTick(now));
}

void LocalAdmission::onChange(TimePoint now)
{
    for (auto &[group, scheduler] : m_groups) {
        apply(group, scheduler->onCapacityShare(share(), now));
        apply(group, scheduler->onUpstreams(m_world.directory.upstreamsOf(group), now));
    }
}

} // namespace hawthornslip
