#include "servers/admission/local_admission.h"

#include "modules/admission/scheduler_factory.h"
#include "servers/admission/admission_codec.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hawthornslip {

LocalAdmission::LocalAdmission(AdmissionContext &context, Handler handler)
    : m_context(context)
    , m_handler(std::move(handler))
{}

double LocalAdmission::capacityShare() const
{
    const auto nodes = std::max<std::size_t>(1, m_context.membership.liveNodes().size());
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
    const std::string text =
            fmt::format("{}|{}|{}|alone{}", m_context.self.value, m_context.incarnation,
                        group.toString(), ++m_schedulersMade);
    options.grantPrefix = fmt::format("{:016x}-", XXH3_64bits(text.data(), text.size()));
    auto scheduler = makeScheduler(m_context.policy, options);
    scheduler->onCapacityShare(capacityShare(), now);
    scheduler->onUpstreams(m_context.directory.upstreamsOf(group), now);
    scheduler->onGrantReport(held, now);
    m_groups[group] = std::move(scheduler);
}

void LocalAdmission::request(const GroupId &group, const AdmissionParams &params, Duration elapsed,
                             TimePoint now)
{
    const double weight = admission::weightOf(*m_context.config, params.workspace);
    const auto event = admission::toEvent(params, m_context.self, elapsed, weight);
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
        apply(group, scheduler->onCapacityShare(capacityShare(), now));
        apply(group, scheduler->onUpstreams(m_context.directory.upstreamsOf(group), now));
    }
}

} // namespace hawthornslip
