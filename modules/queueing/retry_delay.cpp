#include "modules/queueing/retry_delay.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// The jitter keeps callers that were refused together from retrying at the same time.
constexpr Duration kMinLocalDelay = milliseconds(100);
constexpr Duration kMaxLocalDelay = milliseconds(600);
constexpr int kMaxLocalDelayDivisor = 4;
// Divisors of the remaining time that bound the delay. Callers wait for at most a third of it;
// they do not return after a longer delay.
constexpr int kMinOverloadDelayDivisor = 8;
constexpr double kMaxOverloadDelayDivisor = 3.3;

Duration uniform(Duration first, Duration last, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::int64_t> distribution(first.count(), last.count());
    return Duration(distribution(random));
}

} // namespace

Duration localRefusalRetryDelay(Duration remaining, std::mt19937_64 &random)
{
    return std::min<Duration>(uniform(kMinLocalDelay, kMaxLocalDelay, random),
                              remaining / kMaxLocalDelayDivisor);
}

Duration overloadRetryDelay(Duration remaining, std::mt19937_64 &random)
{
    const auto last = static_cast<std::int64_t>(static_cast<double>(remaining.count()) /
                                                kMaxOverloadDelayDivisor);
    return uniform(remaining / kMinOverloadDelayDivisor, Duration(last), random);
}

} // namespace hawthornslip
