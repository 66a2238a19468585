#include "modules/usage/window_clock.h"

#include <algorithm>
#include <vector>

namespace hawthornslip {

namespace {

// Messages that were delayed show the holder's time as too early; among some, the latest is right.
constexpr std::size_t kHolderReadings = 8;
// Fewer clocks do not show which of them is wrong.
constexpr std::size_t kMinReadings = 3;
constexpr Duration kReadingLifetime = seconds(5);

Duration offsetOf(UnixMillis wall, TimePoint now)
{
    return milliseconds(wall) - now.time_since_epoch();
}

} // namespace

WindowClock::WindowClock(Duration window, UnixMillis wall, TimePoint now)
    : m_window(std::max(window, Duration(1)))
    , m_offset(offsetOf(wall, now))
{}

std::uint64_t WindowClock::windowAt(TimePoint now) const
{
    const Duration time = now.time_since_epoch() + m_offset;
    return static_cast<std::uint64_t>(std::max<std::int64_t>(time / m_window, 0));
}

TimePoint WindowClock::endOf(std::uint64_t window) const
{
    return TimePoint(static_cast<std::int64_t>(window + 1) * m_window - m_offset);
}

UnixMillis WindowClock::timeAt(TimePoint now) const
{
    return toMillis(now.time_since_epoch() + m_offset);
}

void WindowClock::onHolderTime(UnixMillis time, TimePoint now)
{
    m_holderOffsets.push_back(offsetOf(time, now));
    if (m_holderOffsets.size() > kHolderReadings)
        m_holderOffsets.pop_front();
    m_offset = *std::max_element(m_holderOffsets.begin(), m_holderOffsets.end());
}

void WindowClock::onNodeClock(const NodeId &node, UnixMillis wall, TimePoint now)
{
    m_readings[node] = {offsetOf(wall, now), now};
}

void WindowClock::setToMedian(TimePoint now)
{
    std::erase_if(m_readings,
                  [now](const auto &it) { return now - it.second.at > kReadingLifetime; });
    if (m_readings.size() < kMinReadings)
        return;
    std::vector<Duration> offsets;
    for (const auto &[node, reading] : m_readings)
        offsets.push_back(reading.offset);
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    m_offset = *middle;
}

} // namespace hawthornslip
