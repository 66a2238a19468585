#pragma once

#include "drivers/asio/asio_event_loop.h"
#include "drivers/asio/asio_upstream_client.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/gateway_process_runner.h"
#include "tests/soak/judge.h"
#include "tests/soak/kept_caller.h"
#include "tests/soak/store_standin.h"
#include "tests/soak/worker_standin.h"

#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace hawthornslip::soak {

/** First part of the path of each kind of request. */
inline constexpr std::array<const char *, 4> kPaths = {"/order/", "/read/", "/chat/", "/draft/"};

/** What a run plays. */
struct SoakOptions
{
    std::string binary;
    std::string folder;
    std::uint64_t seed = 1;
    std::size_t gateways = 3;
    std::size_t workers = 4;
    Duration length = seconds(14);
    /** Requests a second of all callers. */
    double rate = 150;
    /** Callers with a connection of their own at each gateway. */
    std::size_t keptCallers = 6;
    bool isVerbose = false;
};

/** Plays one seed: real gateways, stand-ins, callers, and faults that overlap. */
class SoakRun : private KeptCallerWorld
{
public:
    explicit SoakRun(SoakOptions options);

    /** Plays to the end. @return what was broken, a line each. */
    std::vector<std::string> run();

    const Judge &judge() const { return m_judge; }

private:
    class Caller;
    class MetricsReader;
    /** A worker with the proxy that gateways reach it through. */
    struct Worker
    {
        std::unique_ptr<WorkerStandin> standin;
        std::unique_ptr<FaultProxy> proxy;
        std::uint16_t port = 0;
        bool leaving = false;
    };
    /** A request as drawn, for callers of all sorts. */
    struct Call
    {
        CallerOutcome outcome;
        std::string method;
        std::string path;
        HttpHeaders headers;
        std::string body;
    };
    using Fault = void (SoakRun::*)();

    KeptRequest nextKeptRequest(std::size_t gateway, std::mt19937_64 &random) override;
    std::uint16_t callerPort(std::size_t gateway) const override;
    Duration idleLimit() const override { return m_idleLimit; }
    TimePoint pausedUntil(std::size_t gateway) const override;
    bool isEnding() const override { return m_ending; }
    void onKeptOutcome(const CallerOutcome &outcome) override { m_judge.onOutcome(outcome); }
    void startKeptCallers();
    /** Asks the gateways that run for their metrics. */
    void readMetrics();
    void readLogs();

    /** Draws a request for a gateway and tells the judge of it. */
    Call drawCall(std::string id, std::size_t gateway, std::mt19937_64 &random);
    void startWorker(const std::string &service);
    void startGateways();
    void putWorker(const Worker &worker, const std::string &state);
    void putConfig();
    void planFaults();
    void scheduleCall();
    void sendCall();
    void watchGateways();

    // Faults; each picks its target and length by itself.
    void stopGateway();
    void killGateway();
    void pauseGateway();
    void cutStore();
    void delayStore();
    void resetStore();
    void refuseStore();
    void loseStoreAnswers();
    void forgetHistory();
    void crashWorker();
    void drainWorker();
    void releaseWorker();
    void leaveByAnswers();
    void failWorker();
    void fillWorker();
    void sendExtraAnswers();
    void resetWorkers();
    void delayWorker();
    void revokeKey();
    void revokeAllKeys();
    void moveOrders();
    void moveIdleLimit();
    void reloadSettings();
    void changeSettings();
    void stopAndReload();
    void cutWatches();

    std::size_t pick(std::size_t n) { return n == 0 ? 0 : m_random() % n; }
    Duration between(Duration low, Duration high);
    Worker *pickWorker();
    void note(const std::string &text);
    void troubleAll(Duration length);

    SoakOptions m_options;
    std::mt19937_64 m_random;
    AsioEventLoop m_loop;
    Judge m_judge{Bounds{}};
    StoreStandin m_store;
    std::uint16_t m_storePort = 0;
    AsioUpstreamClient m_client;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::unique_ptr<FaultProxy>> m_storeProxies;
    std::vector<std::unique_ptr<GatewayProcessRunner>> m_gateways;
    std::vector<std::shared_ptr<KeptCaller>> m_keptCallers;
    /** By gateway. */
    std::map<std::size_t, TimePoint> m_pausedUntil;
    std::vector<std::string> m_keys;
    std::uint64_t m_version = 0;
    std::string m_orderService = "app";
    /** How long the configuration lets callers keep an idle connection. */
    Duration m_idleLimit = seconds(1);
    std::uint64_t m_nextWorker = 0;
    std::uint64_t m_nextCall = 0;
    std::uint64_t m_nextKeptRequest = 0;
    TimePoint m_start{};
    bool m_ending = false;
};

} // namespace hawthornslip::soak
