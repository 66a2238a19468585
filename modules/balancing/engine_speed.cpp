#include "modules/balancing/engine_speed.h"

#include <algorithm>
#include <cmath>

namespace hawthornslip {

namespace {

constexpr double kLogUnit = 0.01;
// A single first event counts as at most this many times slower or faster than others, because
// requests that this node does not know of may have delayed it.
constexpr double kMaxSampleRatio = 4;
// Samples that the averages extend over.
constexpr double kLongWindow = 24;
constexpr double kRecentWindow = 4;
// The recent average replaces the long one when they differ by more than this, as the engine has
// changed.
constexpr double kClearChange = 0.5;
// Number of samples that a clear change counts as.
constexpr double kChangedWeight = 8;
// Number of samples that the speed of the service counts as.
constexpr double kPriorSamples = 5;
// Differences of the logarithm below this margin are noise; from twice the margin on they count in
// full.
constexpr double kNoiseMargin = 0.3;
constexpr double kMaxFactor = 3;
// Evidence loses its weight with this time constant.
constexpr double kForgetSeconds = 6;

// Bounds between the length classes of prompts, in tokens.
constexpr std::array<double, 3> kLengthBounds = {1000, 4000, 12'000};
// Number of events before a length of prompts has a reference, and those that the reference extends
// over.
constexpr double kMinReferenceSamples = 4;
constexpr double kReferenceWindow = 100;
// Smoothing of the shortest times while they are exceeded, so that they follow a changed network.
constexpr double kLongerSmoothing = 0.01;

} // namespace

EngineSpeedSums &EngineSpeedSums::operator+=(const EngineSpeedSums &other)
{
    samples += other.samples;
    logSlowness += other.logSlowness;
    return *this;
}

EngineSpeedSums EngineSpeedSums::operator-(const EngineSpeedSums &earlier) const
{
    return {samples - earlier.samples, logSlowness - earlier.logSlowness};
}

void EngineSpeed::add(Average &average, double samples, double logSlowness, double window)
{
    const double keep = std::pow(1 - 1 / window, samples);
    average.weight = keep * average.weight + window * (1 - keep);
    average.weightedSum = keep * average.weightedSum + window * (1 - keep) * logSlowness;
}

void EngineSpeed::add(const EngineSpeedSums &sums, TimePoint now)
{
    if (sums.samples == 0)
        return;
    const double keep = std::exp(-std::max(0.0, toSeconds(now - m_updatedAt)) / kForgetSeconds);
    for (auto *it : {&m_long, &m_recent}) {
        it->weight *= keep;
        it->weightedSum *= keep;
    }
    m_updatedAt = now;
    const double samples = sums.samples;
    const double limit = std::log(kMaxSampleRatio);
    const double mean =
            std::clamp(static_cast<double>(sums.logSlowness) * kLogUnit / samples, -limit, limit);
    add(m_long, samples, mean, kLongWindow);
    add(m_recent, samples, mean, kRecentWindow);
    if (std::abs(m_recent.mean() - m_long.mean()) > kClearChange)
        m_long = {kChangedWeight, kChangedWeight * m_recent.mean()};
}

double EngineSpeed::factor(TimePoint now) const
{
    const double keep = std::exp(-std::max(0.0, toSeconds(now - m_updatedAt)) / kForgetSeconds);
    const double weight = keep * m_long.weight;
    const double logSlowness = m_long.mean() * weight / (weight + kPriorSamples);
    const double difference = std::abs(logSlowness);
    const double clear = std::clamp(2 * (difference - kNoiseMargin), 0.0, difference);
    const double factor = std::exp(std::copysign(clear, -logSlowness));
    return std::clamp(factor, 1 / kMaxFactor, kMaxFactor);
}

void FirstEventReference::Average::add(double value, double window)
{
    samples = std::min(samples + 1, window);
    mean += (value - mean) / samples;
}

std::size_t FirstEventReference::lengthClassOf(double tokens)
{
    return static_cast<std::size_t>(
            std::upper_bound(kLengthBounds.begin(), kLengthBounds.end(), tokens) -
            kLengthBounds.begin());
}

Duration FirstEventReference::withoutDistance(const FirstEventSample &sample)
{
    const double time = toSeconds(sample.time);
    if (lengthClassOf(sample.tokens) == 0) {
        const auto [it, isFirst] = m_shortest.try_emplace(sample.domain, time);
        if (!isFirst)
            it->second += (time < it->second ? 1 : kLongerSmoothing) * (time - it->second);
    }
    const auto own = m_shortest.find(sample.domain);
    if (own == m_shortest.end())
        return sample.time;
    const auto nearest =
            std::min_element(m_shortest.begin(), m_shortest.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; });
    return sample.time - std::chrono::duration_cast<Duration>(
                                 std::chrono::duration<double>(own->second - nearest->second));
}

std::optional<EngineSpeedSums> FirstEventReference::observe(const FirstEventSample &sample)
{
    const Duration time = withoutDistance(sample);
    if (sample.tokens <= 0 || time <= Duration(0))
        return std::nullopt;
    const double quarters = std::clamp(sample.occupancy, 0.0, 1.0) * kOccupancyClasses;
    const std::size_t occupancyClass =
            std::min(static_cast<std::size_t>(quarters), kOccupancyClasses - 1);
    Average &length = m_byLength.at(lengthClassOf(sample.tokens));
    Average &occupancy = m_byOccupancy.at(occupancyClass);
    Average &cached = m_byCached.at(sample.isCached ? 1 : 0);
    // The time of a prompt is proportional to its tokens only if it is not short.
    const double tokens = std::max(sample.tokens, kLengthBounds[0]);
    const double logTime = std::log(toSeconds(time) / tokens);
    if (length.samples == 0)
        length.mean = logTime - occupancy.mean - cached.mean;
    const double limit = std::log(kMaxSampleRatio);
    const double relative =
            std::clamp(logTime - length.mean - occupancy.mean - cached.mean, -limit, limit);
    const bool isKnown = length.samples >= kMinReferenceSamples;
    // Each average explains a part of what the ones before it have left.
    double rest = relative;
    for (auto *it : {&length, &occupancy, &cached}) {
        const double before = it->mean;
        it->add(before + rest, kReferenceWindow);
        rest -= it->mean - before;
    }
    if (!isKnown)
        return std::nullopt;
    return EngineSpeedSums{1, std::llround(relative / kLogUnit)};
}

} // namespace hawthornslip
