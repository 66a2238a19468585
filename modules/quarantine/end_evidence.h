#pragma once

#include "core/interfaces/connection_probe.h"
#include "core/time.h"
#include "modules/upstreams/upstream_directory.h"

#include <cstddef>
#include <optional>

namespace hawthornslip {

/**
 * Tells from what is seen after a lost attempt whether the process of its upstream has ended. A cut
 * or a reset of single connections leaves a process that goes on with others.
 */
class EndEvidence
{
public:
    enum class Conclusion {
        Unknown,
        /** The process that had the attempt has ended. */
        Ended,
        /** It goes on, or nothing more is to be learned. */
        Dropped,
    };

    /** What to do at a look. */
    struct Look
    {
        /** Time from now. */
        Duration wait{0};
        /** Ask the address as well, besides reading the list of upstreams. */
        bool asks = false;
    };

    /** @param listing what the list said of the process when the attempt was lost. */
    explicit EndEvidence(ProcessListing listing)
        : m_listing(listing)
    {}

    /** Records a lost attempt, whose answer may have begun. */
    void onLost(bool hadBegun, TimePoint now);
    /** Records how the address reacted. */
    void onProbed(ProbeResult result);
    /** Records what the list of upstreams says of the process. */
    void onListing(ProcessListing listing);
    /** Records bytes at @p now on a connection whose request was sent at @p sentAt. */
    void onBytes(TimePoint sentAt, TimePoint now);

    /** @return true if the address will be asked again. */
    bool willAsk() const;
    /** @return true if the address has answered since the first loss. */
    bool hasAnswered() const { return m_hasAnswered; }
    /** @return the next look, or nothing when there was the last one. */
    std::optional<Look> nextLook();

    Conclusion conclusion() const { return m_conclusion; }

private:
    ProcessListing m_listing;
    /** When the last attempt was lost. */
    TimePoint m_lostAt{};
    bool m_hasBegun = false;
    bool m_hasAnswered = false;
    std::size_t m_looks = 0;
    std::size_t m_unanswered = 0;
    Conclusion m_conclusion = Conclusion::Unknown;
};

} // namespace hawthornslip
