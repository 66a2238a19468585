#pragma once

#include "core/interfaces/clock.h"

#include <cstdint>
#include <functional>

namespace hawthornslip {

/** Identifies a timer of an event loop; 0 means no timer. */
using TimerId = std::uint64_t;

/** A single-threaded event loop that runs timers and driver callbacks. */
class EventLoop : public Clock
{
public:
    using Task = std::function<void()>;

    /** Runs @p task once, no earlier than @p delay from now. */
    virtual TimerId after(Duration delay, Task task) = 0;

    /** Cancels a timer; no effect if it has already fired or been cancelled. */
    virtual void cancel(TimerId timer) = 0;
};

} // namespace hawthornslip
