#include "modules/queueing/return_advice.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// The spread keeps a refused crowd from returning at once.
constexpr Duration kSoonest = milliseconds(100);
constexpr Duration kSoon = milliseconds(600);
constexpr int kSoonPart = 4;
// Parts of the time left between which callers return. Callers wait for up to a third of it; a
// later time is not kept.
constexpr int kRushFirstPart = 8;
constexpr double kRushLastPart = 3.3;

Duration uniform(Duration first, Duration last, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::int64_t> spread(first.count(), last.count());
    return Duration(spread(random));
}

} // namespace

Duration returnElsewhere(Duration left, std::mt19937_64 &random)
{
    return std::min<Duration>(uniform(kSoonest, kSoon, random), left / kSoonPart);
}

Duration returnAfterRush(Duration left, std::mt19937_64 &random)
{
    const auto last = static_cast<std::int64_t>(static_cast<double>(left.count()) / kRushLastPart);
    return uniform(left / kRushFirstPart, Duration(last), random);
}

} // namespace hawthornslip
