#include "bench/offline_bound.h"

#include <algorithm>
#include <queue>

namespace hawthornslip::bench {

namespace {

constexpr Duration kBucket = milliseconds(1);

/** A request with work left. */
struct Pending
{
    Duration due;
    double tokens = 0;

    bool operator<(const Pending &other) const { return due > other.due; }
};

double rateAt(Duration at, double tokensPerSecond, const std::vector<CapacityLoss> &losses)
{
    for (const auto &it : losses) {
        if (at >= it.from && at < it.to)
            tokensPerSecond -= it.tokensPerSecond;
    }
    return std::max(tokensPerSecond, 0.0);
}

/** Serves @p budget tokens at the time @p now. @return the tokens served. */
double serve(std::priority_queue<Pending> &queue, Duration now, double budget)
{
    double served = 0;
    while (!queue.empty() && served < budget) {
        Pending next = queue.top();
        queue.pop();
        if (next.due <= now)
            continue;
        const double part = std::min(next.tokens, budget - served);
        served += part;
        next.tokens -= part;
        if (next.tokens > 0)
            queue.push(next);
    }
    return served;
}

Duration dueOf(const LoadSpec &spec, const PlannedRequest &request, Duration longestGap)
{
    const auto &loadClass = spec.classes[request.loadClass];
    const auto gaps = static_cast<Duration::rep>(request.tokens) - 1;
    const auto gap = std::min(loadClass.tokenTarget, longestGap);
    return request.at + loadClass.firstTokenTarget + gap * gaps;
}

} // namespace

double offlineGoodputBound(const LoadSpec &spec, const std::vector<PlannedRequest> &plan,
                           double tokensPerSecond, const std::vector<CapacityLoss> &losses,
                           Duration longestGap)
{
    std::priority_queue<Pending> queue;
    double total = 0;
    std::size_t next = 0;
    for (Duration now{0}; next < plan.size() || !queue.empty(); now += kBucket) {
        for (; next < plan.size() && plan[next].at <= now; ++next) {
            if (plan[next].tokens > 0)
                queue.push({dueOf(spec, plan[next], longestGap),
                            static_cast<double>(plan[next].tokens)});
        }
        const double budget = rateAt(now, tokensPerSecond, losses) * toSeconds(kBucket);
        total += serve(queue, now, budget);
        while (!queue.empty() && queue.top().due <= now)
            queue.pop();
    }
    return total / toSeconds(spec.duration);
}

} // namespace hawthornslip::bench
