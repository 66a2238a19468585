#include "tests/soak/soak_run.h"

#include <fmt/format.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

namespace hawthornslip::soak {

namespace {

constexpr std::string_view kStamp = "soak.";
// Gateways are ready well within this; faults and calls begin after it.
constexpr Duration kStartUp = milliseconds(1500);
// Requests that are open at the end have this long to end.
constexpr Duration kEndTime = seconds(6);
// Metrics are read this long before the end.
constexpr Duration kReadTime = milliseconds(300);
constexpr std::size_t kKeys = 6;
// A worker whose entry goes is forgotten by the store after three missed heartbeats.
constexpr Duration kLapse = milliseconds(1500);

} // namespace

/** One request of a caller. */
class SoakRun::Caller : public UpstreamHandler, public std::enable_shared_from_this<Caller>
{
public:
    Caller(SoakRun &run, CallerOutcome outcome)
        : m_run(run)
        , m_outcome(std::move(outcome))
    {}

    void send(UpstreamRequest request, Duration patience)
    {
        m_call = m_run.m_client.send(std::move(request), shared_from_this());
        if (patience > Duration(0))
            m_run.m_loop.after(patience, [self = shared_from_this()] {
                self->m_left = true;
                self->m_call->cancel();
            });
    }

    void onHeaders(int status, const HttpHeaders &headers) override
    {
        m_outcome.status = status;
        const auto *stamp = findHeader(headers, "x-hawthornslip-response-stamp");
        if (stamp != nullptr && findHeader(headers, "server-leaving") != nullptr)
            m_run.m_judge.onLeavingSeen(m_outcome.gateway, stamp->substr(kStamp.size()),
                                        m_run.m_loop.now());
    }
    bool onData(std::string_view piece) override
    {
        m_outcome.body += piece;
        return true;
    }
    void onEnd(const UpstreamEnd &end) override
    {
        // What a caller that left did not wait for tells nothing.
        if (m_left || end.result == UpstreamResult::ConnectFailed)
            return;
        m_outcome.isWhole = end.result == UpstreamResult::Complete;
        m_outcome.endedAt = m_run.m_loop.now();
        m_run.m_judge.onOutcome(m_outcome);
    }

private:
    SoakRun &m_run;
    CallerOutcome m_outcome;
    std::shared_ptr<UpstreamCall> m_call;
    bool m_left = false;
};

SoakRun::SoakRun(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_store(m_loop)
    , m_client(m_loop, seconds(10))
{}

std::vector<std::string> SoakRun::run()
{
    m_start = m_loop.now();
    m_storePort = m_store.start();
    for (std::size_t i = 0; i < kKeys; ++i)
        m_keys.push_back(fmt::format("key{}", i));
    putConfig();
    for (std::size_t i = 0; i < m_options.workers; ++i)
        startWorker(i % 2 == 0 ? "app" : "other");
    startGateways();
    m_judge.onFaultOfAll(m_start);
    m_loop.after(kStartUp, [this] {
        planFaults();
        scheduleCall();
        startKeptCallers();
    });
    watchGateways();
    m_loop.after(kStartUp + m_options.length, [this] { m_ending = true; });
    m_loop.after(kStartUp + m_options.length + kEndTime - kReadTime, [this] { readMetrics(); });
    m_loop.after(kStartUp + m_options.length + kEndTime, [this] { m_loop.stop(); });
    m_loop.run();
    readLogs();
    m_judge.finish();
    return m_judge.violations();
}

void SoakRun::startWorker(const std::string &service)
{
    auto worker = std::make_unique<Worker>();
    worker->standin = std::make_unique<WorkerStandin>(
            m_loop, m_judge, fmt::format("w{}", ++m_nextWorker), service, m_random());
    worker->proxy = std::make_unique<FaultProxy>(m_loop, worker->standin->start());
    worker->port = worker->proxy->start();
    putWorker(*worker, "ready");
    m_workers.push_back(std::move(worker));
}

void SoakRun::startGateways()
{
    for (std::size_t i = 0; i < m_options.gateways; ++i) {
        m_storeProxies.push_back(std::make_unique<FaultProxy>(m_loop, m_storePort));
        const GatewayPorts ports{reservePort(), reservePort(), reservePort(), reservePort(),
                                 m_storeProxies[i]->start()};
        m_gateways.push_back(std::make_unique<GatewayProcessRunner>(m_options.binary,
                                                                    m_options.folder, i, ports));
        m_gateways.back()->start();
    }
}

void SoakRun::putWorker(const Worker &worker, const std::string &state)
{
    m_store.put("servers", worker.standin->id(),
                {{"service", worker.standin->service()},
                 {"address", fmt::format("127.0.0.1:{}", worker.port)},
                 {"zone", "here"},
                 {"slots", 8},
                 {"state", state}});
}

void SoakRun::scheduleCall()
{
    if (m_ending)
        return;
    std::exponential_distribution<double> gap(m_options.rate);
    m_loop.after(Duration(static_cast<std::int64_t>(gap(m_random) * 1e6)), [this] {
        sendCall();
        scheduleCall();
    });
}

SoakRun::Call SoakRun::drawCall(std::string id, std::size_t gateway, std::mt19937_64 &random)
{
    Call call;
    call.path = fmt::format("{}x", kPaths[random() % kPaths.size()]);
    const std::string key = fmt::format("key{}", random() % kKeys);
    auto &outcome = call.outcome;
    outcome.id = std::move(id);
    outcome.kind = kindOf(call.path);
    outcome.gateway = gateway;
    outcome.sentAt = m_loop.now();
    call.method = outcome.kind == Kind::Read ? "GET" : "POST";
    call.headers = {{"Host", "soak.example"},
                    {"X-Hawthornslip-Attempt-Id", outcome.id},
                    {"X-Hawthornslip-Deadline-Ms", "4000"},
                    {"X-Hawthornslip-Tenant", "forged"},
                    {"X-Gateway", std::to_string(gateway)},
                    {"Authorization", "Bearer " + key}};
    call.body = outcome.kind == Kind::Read ? "" : "soak";
    m_judge.onSent(outcome.id, key, outcome.sentAt);
    return call;
}

void SoakRun::sendCall()
{
    const std::size_t gateway = pick(m_gateways.size());
    Call call = drawCall(fmt::format("s{}c{}", m_options.seed, ++m_nextCall), gateway, m_random);
    UpstreamRequest request;
    request.method = call.method;
    request.url =
            fmt::format("http://127.0.0.1:{}{}", m_gateways[gateway]->ports().callers, call.path);
    request.headers = std::move(call.headers);
    request.body = std::move(call.body);
    request.totalTimeout = Duration(0);
    constexpr std::size_t kOneInLeaves = 10;
    const Duration patience =
            pick(kOneInLeaves) == 0 ? between(milliseconds(1), milliseconds(200)) : Duration(0);
    std::make_shared<Caller>(*this, std::move(call.outcome))->send(std::move(request), patience);
}

void SoakRun::planFaults()
{
    static constexpr std::array<Fault, 24> kFaults = {
            &SoakRun::stopGateway,   &SoakRun::killGateway,      &SoakRun::pauseGateway,
            &SoakRun::cutStore,      &SoakRun::delayStore,       &SoakRun::resetStore,
            &SoakRun::refuseStore,   &SoakRun::forgetHistory,    &SoakRun::crashWorker,
            &SoakRun::drainWorker,   &SoakRun::failWorker,       &SoakRun::fillWorker,
            &SoakRun::resetWorkers,  &SoakRun::delayWorker,      &SoakRun::revokeKey,
            &SoakRun::moveOrders,    &SoakRun::sendExtraAnswers, &SoakRun::loseStoreAnswers,
            &SoakRun::releaseWorker, &SoakRun::leaveByAnswers,   &SoakRun::revokeAllKeys,
            &SoakRun::moveIdleLimit, &SoakRun::reloadSettings,   &SoakRun::changeSettings};
    // Some seeds play few kinds, so that the checks that need calm get their turn.
    const std::size_t kinds = 1 + pick(6);
    std::vector<Fault> chosen;
    for (std::size_t i = 0; i < kinds; ++i)
        chosen.push_back(kFaults[pick(kFaults.size())]);
    if (pick(2) == 0)
        m_loop.after(between(Duration(0), m_options.length / 2), [this] { moveIdleLimit(); });
    const std::size_t count = 2 + pick(7);
    for (std::size_t i = 0; i < count; ++i) {
        const Fault fault = chosen[pick(chosen.size())];
        m_loop.after(between(Duration(0), m_options.length * 3 / 4),
                     [this, fault] { (this->*fault)(); });
    }
}

void SoakRun::watchGateways()
{
    constexpr Duration kLook = milliseconds(100);
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        auto &gateway = *m_gateways[i];
        if (gateway.isRunning())
            continue;
        const int status = gateway.lastStatus();
        // A stop by signal ends with 0, a kill by its signal; anything else is a crash.
        if (WIFEXITED(status) ? WEXITSTATUS(status) != 0 : WTERMSIG(status) != SIGKILL)
            m_judge.onFault(i, m_loop.now());
        note(fmt::format("gateway {} starts again", i));
        m_judge.onFault(i, m_loop.now() + seconds(1), true);
        m_judge.onInterrupted(i, m_loop.now());
        gateway.start();
    }
    m_loop.after(kLook, [this] { watchGateways(); });
}

void SoakRun::stopGateway()
{
    const std::size_t i = pick(m_gateways.size());
    note(fmt::format("SIGTERM to gateway {}", i));
    m_judge.onFault(i, m_loop.now() + seconds(9), true);
    m_gateways[i]->signal(SIGTERM);
}

void SoakRun::killGateway()
{
    const std::size_t i = pick(m_gateways.size());
    note(fmt::format("SIGKILL to gateway {}", i));
    m_judge.onFault(i, m_loop.now() + seconds(2));
    m_judge.onKilled(i, m_loop.now());
    m_gateways[i]->signal(SIGKILL);
}

void SoakRun::pauseGateway()
{
    const std::size_t i = pick(m_gateways.size());
    const Duration length = between(milliseconds(300), seconds(7));
    note(fmt::format("gateway {} pauses for {} ms", i, toMillis(length)));
    m_judge.onFault(i, m_loop.now() + length);
    m_judge.onInterrupted(i, m_loop.now() + length);
    m_pausedUntil[i] = std::max(m_pausedUntil[i], m_loop.now() + length);
    m_gateways[i]->signal(SIGSTOP);
    m_loop.after(length, [this, i] { m_gateways[i]->signal(SIGCONT); });
}

void SoakRun::cutStore()
{
    const std::size_t i = pick(m_gateways.size());
    const Duration length = between(seconds(1), seconds(7));
    const std::size_t ways = 1 + pick(3);
    note(fmt::format("gateway {} is cut from the store for {} ms", i, toMillis(length)));
    m_judge.onFault(i, m_loop.now() + length);
    m_storeProxies[i]->setSilent((ways & 1) != 0, (ways & 2) != 0);
    m_loop.after(length, [this, i] {
        m_storeProxies[i]->setSilent(false, false);
        m_storeProxies[i]->resetAll();
    });
}

void SoakRun::delayStore()
{
    const Duration length = between(seconds(1), seconds(4));
    note("the store is slow");
    troubleAll(length);
    m_store.delayAnswers(between(milliseconds(50), milliseconds(600)));
    m_loop.after(length, [this] { m_store.delayAnswers(Duration(0)); });
}

void SoakRun::resetStore()
{
    const std::size_t i = pick(m_gateways.size());
    note(fmt::format("gateway {} has its store connections reset", i));
    m_judge.onFault(i, m_loop.now());
    m_storeProxies[i]->resetAll();
}

void SoakRun::refuseStore()
{
    const Duration length = between(seconds(1), seconds(6));
    note(fmt::format("the store is down for {} ms", toMillis(length)));
    troubleAll(length);
    if (pick(2) == 0)
        m_store.refuseUntil(m_loop.now() + length);
    else
        m_store.silentUntil(m_loop.now() + length);
}

void SoakRun::loseStoreAnswers()
{
    const Duration length = between(seconds(1), seconds(5));
    note("the store loses answers");
    troubleAll(length);
    m_store.loseAnswersUntil(m_loop.now() + length);
}

void SoakRun::forgetHistory()
{
    note("the store forgets its history");
    troubleAll(Duration(0));
    m_store.dropHistory();
}

SoakRun::Worker *SoakRun::pickWorker()
{
    std::vector<Worker *> present;
    for (const auto &it : m_workers) {
        if (!it->leaving)
            present.push_back(it.get());
    }
    // One of each service stays.
    return present.size() <= 2 ? nullptr : present[pick(present.size())];
}

void SoakRun::crashWorker()
{
    Worker *worker = pickWorker();
    if (worker == nullptr)
        return;
    const std::string id = worker->standin->id();
    const std::string service = worker->standin->service();
    note(fmt::format("worker {} crashes", id));
    troubleAll(seconds(2));
    worker->leaving = true;
    startWorker(service);
    m_loop.after(kLapse, [this, id] { m_store.remove("servers", id); });
    std::erase_if(m_workers, [worker](const auto &it) { return it.get() == worker; });
}

void SoakRun::drainWorker()
{
    Worker *worker = pickWorker();
    if (worker == nullptr)
        return;
    const std::string id = worker->standin->id();
    note(fmt::format("worker {} drains", id));
    worker->leaving = true;
    startWorker(worker->standin->service());
    putWorker(*worker, "draining");
    m_judge.onDraining(id, m_loop.now());
    // It serves on for longer than the drain time, so that a late request is seen.
    m_loop.after(seconds(5), [this, id] { m_store.remove("servers", id); });
}

void SoakRun::releaseWorker()
{
    Worker *worker = pickWorker();
    if (worker == nullptr)
        return;
    const std::string id = worker->standin->id();
    note(fmt::format("worker {} leaves without draining", id));
    worker->leaving = true;
    startWorker(worker->standin->service());
    // A store may cut off waiting watches at any time, which is no fault.
    m_store.cutWatches();
    m_loop.after(between(Duration(0), milliseconds(300)), [this, id] {
        m_store.remove("servers", id);
        m_judge.onDraining(id, m_loop.now());
    });
}

void SoakRun::leaveByAnswers()
{
    Worker *worker = pickWorker();
    if (worker == nullptr)
        return;
    note(fmt::format("worker {} says in its answers only that it leaves", worker->standin->id()));
    worker->leaving = true;
    startWorker(worker->standin->service());
    worker->standin->beginLeaving();
}

void SoakRun::failWorker()
{
    Worker *worker = pickWorker();
    if (worker == nullptr)
        return;
    const Duration length = between(seconds(1), seconds(5));
    note(fmt::format("worker {} fails", worker->standin->id()));
    troubleAll(length);
    worker->standin->failUntil(m_loop.now() + length, 0.4);
}

void SoakRun::fillWorker()
{
    Worker *worker = pickWorker();
    if (worker == nullptr)
        return;
    note(fmt::format("worker {} is full", worker->standin->id()));
    worker->standin->fullUntil(m_loop.now() + between(seconds(1), seconds(5)));
}

void SoakRun::sendExtraAnswers()
{
    Worker *worker = pickWorker();
    if (worker == nullptr)
        return;
    note(fmt::format("worker {} sends answers that nobody asked for", worker->standin->id()));
    worker->standin->sendExtraUntil(m_loop.now() + between(seconds(1), seconds(5)));
}

void SoakRun::resetWorkers()
{
    note("connections to workers are reset");
    troubleAll(Duration(0));
    for (const auto &it : m_workers)
        it->proxy->resetAll();
}

void SoakRun::delayWorker()
{
    Worker *worker = pickWorker();
    if (worker == nullptr)
        return;
    const Duration length = between(seconds(1), seconds(4));
    const std::string id = worker->standin->id();
    const bool silent = pick(2) == 0;
    note(fmt::format("the way to worker {} is {}", id, silent ? "silent" : "slow"));
    troubleAll(length + seconds(2));
    worker->proxy->setDelay(between(milliseconds(20), milliseconds(400)));
    worker->proxy->setSilent(false, silent);
    m_loop.after(length, [this, id] {
        for (const auto &it : m_workers) {
            if (it->standin->id() != id)
                continue;
            it->proxy->setDelay(Duration(0));
            it->proxy->setSilent(false, false);
            it->proxy->resetAll();
        }
    });
}

Duration SoakRun::between(Duration low, Duration high)
{
    std::uniform_int_distribution<std::int64_t> spread(low.count(), high.count());
    return Duration(spread(m_random));
}

void SoakRun::troubleAll(Duration length)
{
    m_judge.onFaultOfAll(m_loop.now() + length);
}

void SoakRun::note(const std::string &text)
{
    if (m_options.isVerbose)
        fmt::print("{:8.3f} {}\n", toSeconds(m_loop.now() - m_start), text);
}

} // namespace hawthornslip::soak
