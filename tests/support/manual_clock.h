#pragma once

#include "core/interfaces/clock.h"

namespace hawthornslip::test {

/** A clock that stands still until a test advances it. */
class ManualClock : public Clock
{
public:
    TimePoint now() const override { return m_now; }
    UnixMillis wallNow() const override { return kWallStart + toMillis(m_now - kStart); }

    /** Moves the time forward by @p span. */
    void advance(Duration span) { m_now += span; }

private:
    static constexpr TimePoint kStart{seconds(1000)};
    static constexpr UnixMillis kWallStart = 1'700'000'000'000;
    TimePoint m_now = kStart;
};

} // namespace hawthornslip::test
