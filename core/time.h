#pragma once

#include <chrono>
#include <cstdint>

/** Points in time and durations as all layers use them. */
namespace hawthornslip {

/** A span of time with microsecond resolution. */
using Duration = std::chrono::microseconds;

/** A point on the monotonic clock; its origin has no meaning. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** A point on the wall clock in milliseconds since the Unix epoch; only for records and logs. */
using UnixMillis = std::int64_t;

/** @return the given number of milliseconds as a Duration. */
constexpr Duration milliseconds(std::int64_t n)
{
    return std::chrono::duration_cast<Duration>(std::chrono::milliseconds(n));
}

/** @return the given number of seconds as a Duration. */
constexpr Duration seconds(std::int64_t n)
{
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(n));
}

/** @return @p span in seconds as a floating-point number. */
constexpr double toSeconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

/** @return @p span in whole milliseconds, rounded towards zero. */
constexpr std::int64_t toMillis(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace hawthornslip
