#include "tests/crashes/crash_run.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace hawthornslip::crashes {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kGateways = 2;
constexpr std::size_t kWorkers = 5;
constexpr std::size_t kTopics = 6;
constexpr int kOk = 200;
// The users' bound: this long after the fifth crash, at most three more such requests may arrive.
constexpr std::int64_t kContactUs = 3'000'000;
constexpr std::size_t kCrashesBeforeBound = 5;
constexpr std::size_t kArrivalsAfterBound = 3;
// The users' bound: sound requests are served at least half as often as before.
constexpr double kMinServed = 0.5;
// Gateways are ready well within this.
constexpr Duration kStartUp = milliseconds(1500);
constexpr Duration kSoundGap = milliseconds(50);
constexpr Duration kDeadlyGap = milliseconds(300);
// Seven deadly requests come in it, more than twice the bound.
constexpr std::int64_t kJudgedUs = 2'200'000;
// Without a fifth crash by then, the bound can no longer be broken in this run.
constexpr std::int64_t kLongestUs = 6'500'000;
constexpr Duration kDownTime = milliseconds(1500);
// The store drops an entry after three heartbeats of 1200 ms; the last one was up to one ago.
constexpr Duration kLapse = milliseconds(3000);
constexpr Duration kLook = milliseconds(2);
constexpr Duration kEndTime = milliseconds(800);

std::uint64_t unixNowMs()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count());
}

SharedLog &newLog()
{
    SharedLog *log = makeSharedLog();
    if (log == nullptr)
        throw std::runtime_error("no shared memory");
    return *log;
}

} // namespace

bool CrashResult::isGood() const
{
    return lateArrivals <= kArrivalsAfterBound && soundQuarantined == 0 && soundSent > 0 &&
           static_cast<double>(soundServed) >= kMinServed * static_cast<double>(soundSent);
}

/** One request and its answer. */
class CrashRun::Caller : public UpstreamHandler
{
public:
    explicit Caller(std::int64_t sentAtUs)
        : m_sentAtUs(sentAtUs)
    {}

    void onHeaders(int status, const HttpHeaders &) override { m_status = status; }
    bool onData(std::string_view piece) override
    {
        m_body += piece;
        return true;
    }
    void onEnd(const UpstreamEnd &end) override
    {
        m_isWhole = end.result == UpstreamResult::Complete;
    }

    std::int64_t sentAtUs() const { return m_sentAtUs; }
    bool isServed() const { return m_isWhole && m_status == kOk; }
    bool isQuarantined() const { return m_body.find("prompt_quarantined") != std::string::npos; }

private:
    std::int64_t m_sentAtUs;
    int m_status = 0;
    bool m_isWhole = false;
    std::string m_body;
};

CrashRun::CrashRun(const std::string &binary, std::string folder, const CrashRow &row,
                   std::uint64_t seed)
    : m_folder(std::move(folder))
    , m_row(row)
    , m_random(seed)
    , m_log(newLog())
    , m_store(m_loop)
    , m_client(m_loop, seconds(10))
{
    startAll(binary);
}

void CrashRun::startAll(const std::string &binary)
{
    const std::uint16_t store = m_store.start();
    putConfig();
    for (std::size_t i = 0; i < kWorkers; ++i) {
        m_workers.push_back(std::make_unique<WorkerPort>(m_row, m_log, m_random()));
        startWorker(*m_workers.back(), fmt::format("w{}", ++m_nextWorker));
    }
    for (std::size_t i = 0; i < kGateways; ++i) {
        const soak::GatewayPorts ports{soak::reservePort(), soak::reservePort(),
                                       soak::reservePort(), soak::reservePort(), store};
        m_gateways.push_back(
                std::make_unique<soak::GatewayProcessRunner>(binary, m_folder, i, ports));
        m_gateways.back()->start();
    }
}

void CrashRun::putConfig()
{
    m_store.put("config", "main",
                {{"version", 1},
                 {"routes",
                  {{{"name", "history"},
                    {"host", "crashes.example"},
                    {"path_prefix", "/history/"},
                    {"route_kind", "streaming"},
                    {"timeout_ms", 4000},
                    {"goal_ms", 1000},
                    {"gap_goal_ms", 500},
                    {"max_attempts", 2},
                    {"resumable", true},
                    {"sticky", true},
                    {"service", "models"}}}},
                 {"services", {{{"name", "models"}}}},
                 {"tenants", {{{"name", "t"}, {"api_keys", {"key"}}, {"priority", 0}}}}});
}

void CrashRun::startWorker(WorkerPort &worker, const std::string &id)
{
    worker.start(id);
    m_store.put("servers", id,
                {{"service", "models"},
                 {"address", fmt::format("127.0.0.1:{}", worker.port())},
                 {"zone", "here"},
                 {"slots", 16},
                 {"state", "ready"},
                 {"born", unixNowMs()}});
}

CrashResult CrashRun::run()
{
    watchWorkers();
    m_loop.after(kStartUp, [this] {
        m_startUs = sharedNowUs();
        sendSound();
        sendDeadly();
    });
    m_loop.run();
    judge();
    return m_result;
}

void CrashRun::watchWorkers()
{
    for (const auto &it : m_workers) {
        if (it->takeEnd())
            onWorkerEnded(*it);
        it->keep();
    }
    m_loop.after(kLook, [this] { watchWorkers(); });
}

void CrashRun::onWorkerEnded(WorkerPort &worker)
{
    m_crashedAtUs.push_back(sharedNowUs());
    const std::string old = worker.id();
    if (m_row.port == PortAfter::SameIdAgain) {
        startWorker(worker, old);
        return;
    }
    m_loop.after(kLapse, [this, old] { m_store.remove("servers", old); });
    const std::string next = fmt::format("w{}", ++m_nextWorker);
    if (m_row.port == PortAfter::NextProcess)
        startWorker(worker, next);
    else
        m_loop.after(kDownTime, [this, &worker, next] { startWorker(worker, next); });
}

bool CrashRun::isOver() const
{
    const std::int64_t now = sharedNowUs();
    if (m_crashedAtUs.size() < kCrashesBeforeBound)
        return now > m_startUs + kLongestUs;
    return now > m_crashedAtUs[kCrashesBeforeBound - 1] + kContactUs + kJudgedUs;
}

void CrashRun::sendSound()
{
    if (isOver()) {
        m_loop.after(kEndTime, [this] { m_loop.stop(); });
        return;
    }
    send(false);
    m_loop.after(kSoundGap, [this] { sendSound(); });
}

void CrashRun::sendDeadly()
{
    if (isOver())
        return;
    send(true);
    m_loop.after(kDeadlyGap, [this] { sendDeadly(); });
}

void CrashRun::send(bool isDeadly)
{
    const std::string id = fmt::format("c{}", ++m_nextCall);
    // One topic is on all deadly requests and on some sound ones.
    const std::size_t topic = isDeadly ? 0 : m_random() % kTopics;
    UpstreamRequest request;
    request.url = fmt::format("http://127.0.0.1:{}/history/x",
                              m_gateways[m_random() % m_gateways.size()]->ports().callers);
    request.headers = {{"Host", "crashes.example"},
                       {"X-Hawthornslip-Attempt-Id", id},
                       {"X-Hawthornslip-Deadline-Ms", "4000"},
                       {"X-Hawthornslip-Token-Usage", "400,5"},
                       {"X-Hawthornslip-Prefix-Hash",
                        fmt::format("aa:200,b{}:100,{}{:x}:50", topic, isDeadly ? "dead:50," : "",
                                    0x10000 + m_nextCall)},
                       {"Authorization", "Bearer key"}};
    request.body = "prompt";
    request.totalTimeout = Duration(0);
    auto caller = std::make_shared<Caller>(sharedNowUs());
    if (!isDeadly)
        m_sound.push_back(caller);
    m_client.send(std::move(request), std::move(caller));
}

void CrashRun::judge()
{
    m_result.crashes = m_crashedAtUs.size();
    m_result.arrivals = m_log.arrivals;
    const bool hasBound = m_result.crashes >= kCrashesBeforeBound;
    const std::int64_t bound =
            hasBound ? m_crashedAtUs[kCrashesBeforeBound - 1] + kContactUs : m_startUs + kContactUs;
    for (std::size_t i = 0; hasBound && i < m_result.arrivals; ++i)
        m_result.lateArrivals += m_log.arrivedAtUs.at(i) > bound ? 1 : 0;
    for (const auto &it : m_sound) {
        m_result.soundQuarantined += it->isQuarantined() ? 1 : 0;
        if (it->sentAtUs() < bound)
            continue;
        ++m_result.soundSent;
        m_result.soundServed += it->isServed() ? 1 : 0;
    }
    m_result.attemptsLost = countLines("attempt_lost");
    m_result.crashesObserved = countLines("crash_observed");
    m_result.verdicts = countLines("prompt_quarantined");
}

std::size_t CrashRun::countLines(const std::string &event) const
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        std::ifstream file(fmt::format("{}/gateway{}.log", m_folder, i));
        for (std::string line; std::getline(file, line);)
            n += line.find(fmt::format(R"("event":"{}")", event)) != std::string::npos ? 1 : 0;
    }
    return n;
}

} // namespace hawthornslip::crashes
