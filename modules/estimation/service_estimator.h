#pragma once

#include "core/profile.h"
#include "core/time.h"
#include "modules/estimation/decaying_histogram.h"
#include "modules/estimation/length_estimator.h"

#include <cstdint>

namespace hawthornslip {

/** Estimates length, time to first token and inter-token latency of one profile in one group. */
class ServiceEstimator
{
public:
    /** @param profile supplies the priors. */
    explicit ServiceEstimator(const Profile &profile);

    /** Adds a time to first token, measured from sending the request. */
    void observeFirstToken(Duration firstToken);

    /** Adds the mean inter-token latency of one response. */
    void observeTokenTime(Duration tokenTime);

    /** @return the @p q quantile of the time to first token, measured from sending. */
    Duration firstToken(double q) const;

    /** @return the moving average of the inter-token latency. */
    Duration tokenTime() const;

    /** @return the probability that a response sent now finishes within @p remainingTime. */
    double probabilityOfFinishingWithin(Duration remainingTime,
                                        std::uint32_t generatedTokens) const;

    /** @return the expected duration of the rest of a response after @p generatedTokens. */
    Duration meanDuration(std::uint32_t generatedTokens = 0) const;

    LengthEstimator &lengths() { return m_lengths; }
    const LengthEstimator &lengths() const { return m_lengths; }

private:
    LengthEstimator m_lengths;
    DecayingHistogram m_firstToken;
    double m_tokenTimeUs;
};

} // namespace hawthornslip
