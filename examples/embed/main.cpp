#include "core/reasons.h"
#include "modules/admission/tiered_scheduler.h"

#include <cstdio>
#include <deque>
#include <memory>

/**
 * Admits requests of two profiles at two upstreams with one slot each, in a program of its own. The
 * program owns time and I/O; the scheduler only takes events and returns actions.
 */
namespace {

std::shared_ptr<const hawthornslip::Profile> makeProfile(const char *name, int tier)
{
    auto profile = std::make_shared<hawthornslip::Profile>();
    profile->name = hawthornslip::ProfileName(name);
    profile->tier = tier;
    profile->firstTokenTarget = hawthornslip::seconds(30);
    return profile;
}

/** Prints each action and keeps the grants. */
class Program
{
public:
    void carryOut(const hawthornslip::SchedulerActions &actions)
    {
        for (const auto &it : actions)
            std::visit([this](const auto &action) { carryOut(action); }, it);
    }

    std::deque<hawthornslip::GrantId> &running() { return m_running; }
    const std::deque<std::string> &order() const { return m_order; }

private:
    void carryOut(const hawthornslip::GrantAction &action)
    {
        std::printf("send %s to %s\n", action.key.request.value.c_str(),
                    action.upstream.value.c_str());
        m_running.push_back(action.grant);
        m_order.push_back(action.key.request.value);
    }

    void carryOut(const hawthornslip::RefuseAction &action)
    {
        std::printf("refuse %s: %s\n", action.key.request.value.c_str(),
                    std::string(hawthornslip::nameOf(action.reason)).c_str());
    }

    void carryOut(const hawthornslip::PreemptAction &action)
    {
        std::printf("cancel and ask again: %s\n", action.grant.value.c_str());
    }

    std::deque<hawthornslip::GrantId> m_running;
    std::deque<std::string> m_order;
};

hawthornslip::AdmissionRequestEvent makeAsk(const std::string &request,
                                            std::shared_ptr<const hawthornslip::Profile> profile)
{
    hawthornslip::AdmissionRequestEvent ask;
    ask.key.request = hawthornslip::RequestId(request);
    ask.node = hawthornslip::NodeId("127.0.0.1:1");
    ask.workspace = hawthornslip::WorkspaceId("shop");
    ask.profile = std::move(profile);
    return ask;
}

} // namespace

int main()
{
    const auto booking = makeProfile("booking", 0);
    const auto summary = makeProfile("summary", 2);
    hawthornslip::SchedulerOptions options;
    options.preemption = false;
    options.adaptiveConcurrency = false;
    hawthornslip::TieredScheduler scheduler(options);
    Program program;
    hawthornslip::TimePoint now{};
    program.carryOut(scheduler.onUpstreams({{hawthornslip::UpstreamId("engine-1"), true, 1},
                                            {hawthornslip::UpstreamId("engine-2"), true, 1}},
                                           now));
    for (const auto *it : {"summary-1", "summary-2", "summary-3"})
        program.carryOut(scheduler.onAdmissionRequest(makeAsk(it, summary), now));
    program.carryOut(scheduler.onAdmissionRequest(makeAsk("booking-1", booking), now));

    while (!program.running().empty()) {
        now += hawthornslip::seconds(1);
        hawthornslip::ReleaseEvent release;
        release.grant = program.running().front();
        program.running().pop_front();
        release.result = hawthornslip::ReleaseResult::Complete;
        release.tokens = 40;
        release.firstToken = hawthornslip::milliseconds(100);
        release.duration = hawthornslip::seconds(1);
        program.carryOut(scheduler.onRelease(release, now));
    }
    // The booking came last and goes ahead of the summary that still waits.
    const bool served = program.order().size() == 4 && program.order()[2] == "booking-1";
    std::printf("%s\n", served ? "all served, the booking first of those that waited" : "failed");
    return served ? 0 : 1;
}
