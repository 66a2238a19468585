#include "servers/caller/connection_ends.h"

#include "core/logger.h"
#include "core/metric_names.h"
#include "modules/limits/token_bucket.h"

#include <memory>
#include <mutex>
#include <utility>

namespace hawthornslip {

namespace {

// Callers can cause ends at will.
constexpr double kLinesPerSecond = 20;
constexpr double kLineBurst = 100;

/** Counts and logs the ends of the connections of one listener. */
class EndRecorder
{
public:
    EndRecorder(Metrics &metrics, const Clock &clock, std::string listener)
        : m_metrics(metrics)
        , m_clock(clock)
        , m_listener(std::move(listener))
        , m_lines(kLinesPerSecond, kLineBurst, clock.now())
    {}

    void record(const ConnectionEnd &end)
    {
        const auto cause = nameOf(kConnectionEndCauseNames, end.cause);
        const auto request = nameOf(kRequestAtEndNames, end.request);
        m_metrics.count(metric::kCallerConnections, {{"cause", cause}, {"request", request}});
        if (isWithoutAnswer(end) && mayLog())
            logEvent(LogLevel::Warning, "caller_connection_ended",
                     {{"listener", m_listener},
                      {"cause", cause},
                      {"request", request},
                      {"bytes", end.bytes}});
    }

private:
    bool mayLog()
    {
        const std::lock_guard lock(m_mutex);
        return m_lines.tryTake(1, m_clock.now());
    }

    Metrics &m_metrics;
    const Clock &m_clock;
    const std::string m_listener;
    std::mutex m_mutex;
    TokenBucket m_lines;
};

} // namespace

void recordConnectionEnds(HttpServer &server, Metrics &metrics, const Clock &clock,
                          std::string listener)
{
    const auto recorder = std::make_shared<EndRecorder>(metrics, clock, std::move(listener));
    server.onConnectionEnd([recorder](const ConnectionEnd &end) { recorder->record(end); });
}

} // namespace hawthornslip
