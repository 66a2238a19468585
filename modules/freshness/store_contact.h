#pragma once

#include "core/time.h"

#include <optional>

namespace hawthornslip {

/**
 * Tells an outage of the store from a single lost call, by the calls of all of a node's followers.
 * A watch that is cut off or gets no answer only shows that its connection was lost; the store was
 * away if a call that began after that failed too.
 */
class StoreContact
{
public:
    /**
     * Records that a call got no answer from the store, or that the store could not process it.
     *
     * @param startedAt when the call began.
     * @param silentSince from when on the store may have been away: the start of a call without an
     *        answer, otherwise the time of the failure.
     * @param now time of the failure.
     */
    void onFailed(TimePoint startedAt, TimePoint silentSince, TimePoint now);

    /** Records that the store has processed a call. */
    void onAnswered(TimePoint now);

    /**
     * @return the longest time that the store may have been away before the last outage ended;
     *         zero when none ended at @p since or later.
     */
    Duration awaySince(TimePoint since) const;

private:
    struct Outage
    {
        TimePoint endedAt{};
        Duration length{0};
    };

    TimePoint m_answeredAt{};
    /** Set while calls fail. */
    std::optional<TimePoint> m_awaySince;
    TimePoint m_firstFailureAt{};
    /** A call that began after the first failure has failed too. */
    bool m_isOutage = false;
    Outage m_lastOutage;
};

} // namespace hawthornslip
