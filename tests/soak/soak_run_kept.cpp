#include "tests/soak/soak_run.h"
#include "tests/soak/told_drops.h"

#include <fmt/format.h>

#include <string>
#include <utility>

/** The part of a run with callers that keep connections, and with what gateways tell of them. */
namespace hawthornslip::soak {

/** Reads the metrics of one gateway. */
class SoakRun::MetricsReader : public UpstreamHandler
{
public:
    MetricsReader(SoakRun &run, std::size_t gateway)
        : m_run(run)
        , m_gateway(gateway)
    {}

    void onHeaders(int, const HttpHeaders &) override {}
    bool onData(std::string_view piece) override
    {
        m_page += piece;
        return true;
    }
    void onEnd(const UpstreamEnd &end) override
    {
        if (end.result != UpstreamResult::Complete)
            m_run.note(fmt::format("no metrics from gateway {}", m_gateway));
        for (const auto &it : dropsInMetrics(m_page))
            m_run.m_judge.onDropTold(m_gateway, it);
    }

private:
    SoakRun &m_run;
    std::size_t m_gateway;
    std::string m_page;
};

KeptRequest SoakRun::nextKeptRequest(std::size_t gateway, std::mt19937_64 &random)
{
    Call call =
            drawCall(fmt::format("s{}k{}", m_options.seed, ++m_nextKeptRequest), gateway, random);
    std::string bytes = fmt::format("{} {} HTTP/1.1\r\n", call.method, call.path);
    for (const auto &[name, value] : call.headers)
        bytes += fmt::format("{}: {}\r\n", name, value);
    if (!call.body.empty())
        bytes += fmt::format("Content-Length: {}\r\n", call.body.size());
    bytes += "\r\n" + call.body;
    return {std::move(call.outcome), std::move(bytes)};
}

std::uint16_t SoakRun::callerPort(std::size_t gateway) const
{
    return m_gateways[gateway]->ports().callers;
}

TimePoint SoakRun::pausedUntil(std::size_t gateway) const
{
    const auto it = m_pausedUntil.find(gateway);
    return it == m_pausedUntil.end() ? TimePoint{} : it->second;
}

void SoakRun::startKeptCallers()
{
    KeptCallerWorld &world = *this;
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        for (std::size_t n = 0; n < m_options.keptCallers; ++n) {
            const auto habit = n % 2 == 0 ? KeptHabit::Careful : KeptHabit::Careless;
            m_keptCallers.push_back(
                    std::make_shared<KeptCaller>(m_loop, world, i, habit, m_random()));
            m_keptCallers.back()->start();
        }
    }
}

void SoakRun::readMetrics()
{
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        UpstreamRequest request;
        request.method = "GET";
        request.url = fmt::format("http://127.0.0.1:{}/metrics", m_gateways[i]->ports().metrics);
        request.headers = {{"Host", "soak.example"}};
        m_client.send(std::move(request), std::make_shared<MetricsReader>(*this, i));
    }
}

void SoakRun::readLogs()
{
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        const auto lines = dropsInLog(m_gateways[i]->logPath());
        if (!lines.empty())
            m_judge.onDropTold(i, fmt::format("{} lines, first {}", lines.size(), lines.front()));
    }
}

} // namespace hawthornslip::soak
