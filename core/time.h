#pragma once

#include <chrono>
#include <cstdint>

/** Time types that all layers use. */
namespace hawthornslip {

/** A duration with microsecond resolution. */
using Duration = std::chrono::microseconds;

/** A point on the monotonic clock; its epoch is unspecified. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Wall-clock time in milliseconds since the Unix epoch; only for stored records and logs. */
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
