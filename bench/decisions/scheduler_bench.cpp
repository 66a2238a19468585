#include "modules/admission/tiered_scheduler.h"

#include <fmt/format.h>

#include <chrono>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace hawthornslip::bench {

namespace {

constexpr int kOperations = 20000;
constexpr int kWorkspaces = 500;
constexpr std::uint32_t kSlots = 64;

struct Timings
{
    double admitUs = 0;
    double selectUs = 0;
    double tickUs = 0;
};

class Stopwatch
{
public:
    double elapsedUs() const
    {
        const auto passed = std::chrono::steady_clock::now() - m_start;
        return std::chrono::duration<double, std::micro>(passed).count();
    }

private:
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

// Keeps a group full with @p queued requests waiting, and times each ask and each release, which
// selects the next request and its upstream.
Timings measure(int upstreams, int queued, std::uint64_t seed)
{
    SchedulerOptions options;
    options.adaptiveConcurrency = false;
    options.earlyRefusal = false;
    options.queueBound = 1'000'000;
    TieredScheduler scheduler(options);
    TimePoint now{seconds(1000)};
    std::vector<UpstreamInfo> infos;
    for (int i = 0; i < upstreams; ++i)
        infos.push_back({UpstreamId("127.0.0.1:" + std::to_string(10000 + i)), true, kSlots});
    scheduler.onUpstreams(infos, now);
    std::mt19937_64 random(seed);
    std::array<std::shared_ptr<Profile>, kTierCount> profiles;
    for (int tier = 0; tier < kTierCount; ++tier) {
        profiles[std::size_t(tier)] = std::make_shared<Profile>();
        profiles[std::size_t(tier)]->name = ProfileName("profile" + std::to_string(tier));
        profiles[std::size_t(tier)]->tier = tier;
        profiles[std::size_t(tier)]->resumable = false;
        profiles[std::size_t(tier)]->totalTimeout = seconds(3600);
    }
    std::uint64_t number = 0;
    const auto makeAsk = [&] {
        AdmissionRequestEvent ask;
        ask.key.request = RequestId(fmt::format("{:016x}{:016x}", random(), ++number));
        ask.node = NodeId("10.0.0." + std::to_string(random() % 250) + ":7000");
        ask.workspace = WorkspaceId("workspace" + std::to_string(random() % kWorkspaces));
        ask.profile = profiles[random() % kTierCount];
        ask.remaining = seconds(3600);
        ask.promptTokens = 400;
        ask.prefixHash = random() % 8;
        return ask;
    };
    std::deque<GrantId> running;
    const auto follow = [&](const SchedulerActions &actions) {
        for (const auto &it : actions) {
            if (const auto *grant = std::get_if<GrantAction>(&it))
                running.push_back(grant->grant);
        }
    };
    const int total = upstreams * int(kSlots) + queued;
    for (int i = 0; i < total; ++i)
        follow(scheduler.onAdmissionRequest(makeAsk(), now));
    Timings timings;
    for (int i = 0; i < kOperations; ++i) {
        now += Duration(100);
        const AdmissionRequestEvent ask = makeAsk();
        const Stopwatch admit;
        const auto first = scheduler.onAdmissionRequest(ask, now);
        timings.admitUs += admit.elapsedUs() / kOperations;
        follow(first);
        // Any of the running requests may end next.
        std::swap(running.front(), running[random() % running.size()]);
        const ReleaseEvent event{running.front(), ReleaseResult::Complete, 200, milliseconds(100),
                                 seconds(8)};
        running.pop_front();
        const Stopwatch select;
        const auto next = scheduler.onRelease(event, now);
        timings.selectUs += select.elapsedUs() / kOperations;
        follow(next);
    }
    constexpr int kTicks = 100;
    for (int i = 0; i < kTicks; ++i) {
        now += milliseconds(50);
        const Stopwatch tick;
        follow(scheduler.onTick(now));
        timings.tickUs += tick.elapsedUs() / kTicks;
    }
    return timings;
}

void printRow(int upstreams, int queued)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto it = measure(upstreams, queued, seed);
        fmt::print("upstreams={} queued={} seed={} admit_us={:.2f} release_and_select_us={:.2f} "
                   "tick_us={:.0f}\n",
                   upstreams, queued, seed, it.admitUs, it.selectUs, it.tickUs);
    }
}

} // namespace

void runSchedulerBench()
{
    for (const int upstreams : {75, 150, 300, 600})
        printRow(upstreams, 10000);
    for (const int queued : {1000, 5000, 20000, 40000})
        printRow(600, queued);
}

} // namespace hawthornslip::bench

/** Entry point of the measurement of admission and selection times. */
int main()
{
    hawthornslip::bench::runSchedulerBench();
    return 0;
}
