#pragma once

#include "core/interfaces/clock.h"

#include <cstdint>
#include <functional>

namespace hawthornslip {

/** A timer of an event loop; 0 is none. */
using TimerId = std::uint64_t;

/** One thread that runs timers and the callbacks of the drivers in turn. */
class EventLoop : public Clock
{
public:
    using Task = std::function<void()>;

    /** Runs @p task once, at the earliest after @p delay. */
    virtual TimerId after(Duration delay, Task task) = 0;

    /** Drops a timer; one that has run or was cancelled is ignored. */
    virtual void cancel(TimerId timer) = 0;
};

} // namespace hawthornslip
