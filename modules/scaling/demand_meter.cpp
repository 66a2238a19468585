#include "modules/scaling/demand_meter.h"

#include <algorithm>

namespace hawthornslip {

namespace {

// Peers report each second or more often.
constexpr Duration kRateWindow = milliseconds(1200);
constexpr Duration kSlopeWindow = seconds(2);
// Time after which half of the average occupancy comes from newer requests.
constexpr double kOccupancySeconds = 8;
// A rise ahead is not trusted beyond a doubling.
constexpr double kMaxRise = 1.0;

double perSecond(std::uint64_t before, std::uint64_t after, double span)
{
    return after > before ? static_cast<double>(after - before) / span : 0;
}

} // namespace

DemandMeter::DemandMeter(Duration keepFor)
    : m_keepFor(keepFor)
    , m_peak(keepFor)
{}

void DemandMeter::add(const DemandSample &sample, const UpstreamRate &rate, Duration startTime,
                      TimePoint now)
{
    m_samples.push_back({sample, now});
    while (m_samples.size() > 2 && now - m_samples[1].at >= kRateWindow)
        m_samples.pop_front();
    if (now - m_samples.front().at < kRateWindow)
        return;
    m_isKnown = true;
    const double current = engineTime(sample, rate, now);
    if (current > 0 && m_firstDemandAt == TimePoint{})
        m_firstDemandAt = now;
    const double rise = std::max(0.0, slopePerSecond(current, now) * toSeconds(startTime));
    const double expected = current + std::min(rise, kMaxRise * current);
    const Duration observedFor =
            m_firstDemandAt == TimePoint{} ? Duration(0) : now - m_firstDemandAt;
    const double span = toSeconds(std::clamp(observedFor, seconds(1), m_keepFor));
    const double weight = toSeconds(now - m_samples[m_samples.size() - 2].at) / span;
    const double mean = m_estimate.mean + std::min(1.0, weight) * (current - m_estimate.mean);
    m_estimate = {current, expected, m_peak.add(current, now), mean, observedFor};
}

double DemandMeter::engineTime(const DemandSample &sample, const UpstreamRate &rate, TimePoint now)
{
    const auto &[before, at] = m_samples.front();
    const double span = toSeconds(now - at);
    const double requests = perSecond(before.requests, sample.requests, span);
    const double tokens = std::max(perSecond(before.ownTokens, sample.ownTokens, span),
                                   perSecond(before.sentTokens, sample.sentTokens, span));
    const auto running = static_cast<double>(sample.running);
    if (requests > 0) {
        const double weight = std::min(1.0, toSeconds(now - m_samples[m_samples.size() - 2].at) /
                                                    kOccupancySeconds);
        m_slotSeconds += (m_slotSeconds == 0 ? 1 : weight) * (running / requests - m_slotSeconds);
    }
    const double slots = std::max(running + sample.held, requests * m_slotSeconds);
    const double prefill = rate.prefillTokens > 0 ? tokens / rate.prefillTokens : 0;
    // Both at once: a request holds its slot while its prompt is read.
    return std::max(prefill, slots / std::max(1U, rate.slots));
}

double DemandMeter::slopePerSecond(double current, TimePoint now)
{
    m_values.push_back({current, now});
    while (m_values.size() > 2 && now - m_values[1].at >= kSlopeWindow)
        m_values.pop_front();
    const Duration span = now - m_values.front().at;
    return span < kSlopeWindow ? 0 : (current - m_values.front().value) / toSeconds(span);
}

} // namespace hawthornslip
