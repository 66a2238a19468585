#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace hawthornslip {

/**
 * Tells in which window of wall-clock time a moment lies, the same at all nodes.
 *
 * The wall clock of a node may jump. The time is therefore taken from the steady clock and an
 * offset: that of the holder of the duty, which in turn uses the median of the nodes' wall clocks.
 */
class WindowClock
{
public:
    /** @param wall this node's wall clock at @p now. */
    WindowClock(Duration window, UnixMillis wall, TimePoint now);

    /** @return the number of the window in progress at @p now. */
    std::uint64_t windowAt(TimePoint now) const;
    /** @return the end of @p window on the steady clock. */
    TimePoint endOf(std::uint64_t window) const;
    /** @return the wall-clock time at @p now. */
    UnixMillis timeAt(TimePoint now) const;

    /** Handles the holder's time, which may have been on its way for some time. */
    void onHolderTime(UnixMillis time, TimePoint now);
    /** Records the wall clock of @p node for setToMedian(); it must be a recent reading. */
    void onNodeClock(const NodeId &node, UnixMillis wall, TimePoint now);
    /** Takes the median of the recent readings of onNodeClock(), if there are enough. */
    void setToMedian(TimePoint now);

private:
    struct Reading
    {
        Duration offset{0};
        TimePoint at{};
    };

    Duration m_window;
    /** Wall-clock time minus the time of the steady clock. */
    Duration m_offset;
    std::deque<Duration> m_holderOffsets;
    std::map<NodeId, Reading> m_readings;
};

} // namespace hawthornslip
