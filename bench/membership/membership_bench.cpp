#include "bench/membership/counter_cluster.h"
#include "bench/membership/ring_cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace hawthornslip::bench {

namespace {

// What ZeroMQ with CURVE (frame, command, nonce, box) and TCP over IPv4 add to a message, and the
// bare acknowledgement that the receiver's TCP sends.
constexpr double kTransportBytes = 36 + 52;
constexpr double kAcknowledgementBytes = 52;

constexpr auto kWarmUp = seconds(40);
constexpr auto kSteady = seconds(30);
constexpr auto kDetectionLimit = seconds(60);
constexpr int kCrashes = 8;
constexpr int kPauses = 40;
constexpr auto kPause = seconds(2);

using Factory = std::function<std::unique_ptr<ClusterUnderTest>(std::size_t, std::uint64_t)>;

struct Scheme
{
    std::string name;
    Factory make;
};

struct Figures
{
    double messageBytes = 0;
    double wireBytes = 0;
    std::vector<double> detections;
    int missed = 0;
    /** Live nodes that some node took for dead: counted per viewer and node. */
    int falseByLoss = 0;
    int falseByPause = 0;
    double nodeSeconds = 0;
};

/** Runs one scheme with one seed. */
class Run
{
public:
    Run(const Scheme &scheme, std::size_t n, std::uint64_t seed, double loss, Figures &figures)
        : m_size(n)
        , m_cluster(scheme.make(n, seed))
        , m_random(seed)
        , m_figures(figures)
        , m_changes(n, 0)
    {
        test::LinkFaults faults;
        faults.loss = loss;
        for (std::size_t i = 0; i < n; ++i)
            m_cluster->start(i);
        runFor(kWarmUp);
        m_cluster->setFaults(faults);
        runFor(seconds(10));
    }

    void measure()
    {
        const auto messages = m_cluster->messages;
        const auto bytes = m_cluster->bytes;
        m_figures.falseByLoss += countFalseDeaths(kSteady);
        const double nodeSeconds = toSeconds(kSteady) * static_cast<double>(m_size);
        const auto sent = static_cast<double>(m_cluster->messages - messages);
        m_figures.messageBytes += static_cast<double>(m_cluster->bytes - bytes) / nodeSeconds;
        // Each node sends its messages and acknowledges as many.
        m_figures.wireBytes += (static_cast<double>(m_cluster->bytes - bytes) +
                                sent * (kTransportBytes + kAcknowledgementBytes)) /
                               nodeSeconds;
        m_figures.nodeSeconds += nodeSeconds;
        for (int i = 0; i < kPauses; ++i) {
            m_cluster->pause(m_random() % m_size, kPause);
            m_figures.falseByPause += countFalseDeaths(kPause + milliseconds(530));
        }
        runFor(seconds(10));
        for (int i = 0; i < kCrashes; ++i)
            crashOne();
    }

private:
    void runFor(Duration span)
    {
        for (Duration passed{0}; passed < span; passed += milliseconds(10))
            m_cluster->step();
    }

    int countFalseDeaths(Duration span)
    {
        int deaths = 0;
        for (Duration passed{0}; passed < span; passed += milliseconds(10)) {
            m_cluster->step();
            for (std::size_t i = 0; i < m_size; ++i) {
                if (m_cluster->changes(i) == m_changes[i])
                    continue;
                m_changes[i] = m_cluster->changes(i);
                for (std::size_t k = 0; k < m_size; ++k)
                    deaths += m_cluster->sees(i, k) ? 0 : 1;
            }
        }
        return deaths;
    }

    void crashOne()
    {
        runFor(milliseconds(static_cast<std::int64_t>(m_random() % 1000)));
        const std::size_t victim = m_random() % m_size;
        m_cluster->crash(victim);
        Duration passed{0};
        while (!knownByAll(victim) && passed < kDetectionLimit) {
            m_cluster->step();
            passed += milliseconds(10);
        }
        if (passed < kDetectionLimit)
            m_figures.detections.push_back(toSeconds(passed));
        else
            ++m_figures.missed;
        m_cluster->start(victim);
        runFor(seconds(12));
    }

    bool knownByAll(std::size_t victim) const
    {
        for (std::size_t i = 0; i < m_size; ++i) {
            if (m_cluster->running(i) && m_cluster->sees(i, victim))
                return false;
        }
        return true;
    }

    std::size_t m_size;
    std::unique_ptr<ClusterUnderTest> m_cluster;
    std::mt19937_64 m_random;
    Figures &m_figures;
    std::vector<int> m_changes;
};

std::vector<Scheme> schemes()
{
    const auto counters = [](const CounterScheme &scheme) {
        return [scheme](std::size_t n, std::uint64_t seed) -> std::unique_ptr<ClusterUnderTest> {
            return std::make_unique<CounterCluster>(n, seed, scheme);
        };
    };
    CounterScheme heartbeats;
    heartbeats.toAll = true;
    heartbeats.silenceLimit = milliseconds(3500);
    CounterScheme phi8;
    CounterScheme phi3;
    phi3.phiThreshold = 3;
    CounterScheme phi3Compact = phi3;
    phi3Compact.nameBytes = 3;
    return {{"heartbeats to all", counters(heartbeats)},
            {"scuttlebutt, phi 8", counters(phi8)},
            {"scuttlebutt, phi 3", counters(phi3)},
            {"scuttlebutt, phi 3, short names", counters(phi3Compact)},
            {"sparse ring", [](std::size_t n, std::uint64_t seed) {
                 return std::unique_ptr<ClusterUnderTest>(std::make_unique<RingCluster>(n, seed));
             }}};
}

void report(const Scheme &scheme, std::size_t n, double loss, int seeds)
{
    Figures figures;
    for (int seed = 1; seed <= seeds; ++seed)
        Run(scheme, n, static_cast<std::uint64_t>(seed), loss, figures).measure();
    auto &times = figures.detections;
    std::sort(times.begin(), times.end());
    const double median = times.empty() ? -1 : times[times.size() / 2];
    const double worst = times.empty() ? -1 : times.back();
    fmt::print("| {} | {} | {:.0f}% | {:.0f} | {:.0f} | {:.2f} | {:.2f} | {} | {} | {} |\n",
               scheme.name, n, loss * 100, figures.messageBytes / seeds, figures.wireBytes / seeds,
               median, worst, figures.missed, figures.falseByLoss, figures.falseByPause);
    std::fflush(stdout);
}

} // namespace

} // namespace hawthornslip::bench

/** Compares ways to detect dead nodes; arguments: number of seeds, then sizes. */
int main(int argc, char **argv)
{
    using namespace hawthornslip::bench; // NOLINT(google-build-using-namespace)
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 3;
    std::vector<std::size_t> sizes;
    for (int i = 2; i < argc; ++i)
        sizes.push_back(static_cast<std::size_t>(std::atoi(argv[i])));
    if (sizes.empty())
        sizes = {9, 36, 360};
    fmt::print("| scheme | nodes | loss | message B/s | wire B/s | detection median s | worst s | "
               "not detected | false deaths | false deaths, pauses |\n"
               "|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto n : sizes) {
        for (const double loss : {0.01, 0.05}) {
            for (const auto &scheme : schemes())
                report(scheme, n, loss, seeds);
        }
    }
    return 0;
}
