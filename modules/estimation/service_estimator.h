#pragma once

#include "core/profile.h"
#include "core/time.h"
#include "modules/estimation/decaying_histogram.h"
#include "modules/estimation/length_estimator.h"

#include <cstdint>

namespace hawthornslip {

/** Learns what requests of one profile cost in one group: lengths, first token and token times. */
class ServiceEstimator
{
public:
    /** @param profile gives the priors. */
    explicit ServiceEstimator(const Profile &profile);

    /** Takes the time from sending to the first token. */
    void observeFirstToken(Duration firstToken);

    /** Takes the mean time between the tokens of one answer. */
    void observeTokenTime(Duration tokenTime);

    /** @return the @p q quantile of the time from sending to the first token. */
    Duration firstToken(double q) const;

    /** @return the mean time from one token to the next. */
    Duration tokenTime() const;

    /** @return the probability that an answer that starts now ends within @p remainingTime. */
    double probabilityOfFinishingWithin(Duration remainingTime,
                                        std::uint32_t generatedTokens) const;

    /** @return the expected time that one answer takes after @p generatedTokens tokens. */
    Duration meanDuration(std::uint32_t generatedTokens = 0) const;

    LengthEstimator &lengths() { return m_lengths; }
    const LengthEstimator &lengths() const { return m_lengths; }

private:
    LengthEstimator m_lengths;
    DecayingHistogram m_firstToken;
    double m_tokenTimeUs;
};

} // namespace hawthornslip
