#pragma once

#include "drivers/asio/asio_event_loop.h"
#include "drivers/asio/asio_upstream_client.h"
#include "tests/crashes/worker_port.h"
#include "tests/soak/gateway_process_runner.h"
#include "tests/soak/store_standin.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace hawthornslip::crashes {

/** What was seen of one row. */
struct CrashResult
{
    std::size_t crashes = 0;
    /** Deadly requests that reached workers in all. */
    std::size_t arrivals = 0;
    /** Those later than the contact time after the fifth crash. */
    std::size_t lateArrivals = 0;
    /** Sound requests sent in the judged time, and those of them that were served whole. */
    std::size_t soundSent = 0;
    std::size_t soundServed = 0;
    /** Sound requests refused because of what they hold, at any time. */
    std::size_t soundQuarantined = 0;
    /** Lines of the gateways' logs. */
    std::size_t attemptsLost = 0;
    std::size_t crashesObserved = 0;
    std::size_t verdicts = 0;

    /** @return true when every promise held. */
    bool isGood() const;
};

/** Plays one row: gateway and worker processes, a store, and callers in this process. */
class CrashRun
{
public:
    CrashRun(const std::string &binary, std::string folder, const CrashRow &row,
             std::uint64_t seed);

    CrashResult run();

private:
    class Caller;

    void startAll(const std::string &binary);
    void putConfig();
    void startWorker(WorkerPort &worker, const std::string &id);
    void watchWorkers();
    void onWorkerEnded(WorkerPort &worker);
    void sendSound();
    void sendDeadly();
    void send(bool isDeadly);
    bool isOver() const;
    void judge();
    std::size_t countLines(const std::string &event) const;

    std::string m_folder;
    CrashRow m_row;
    std::mt19937_64 m_random;
    SharedLog &m_log;
    AsioEventLoop m_loop;
    soak::StoreStandin m_store;
    AsioUpstreamClient m_client;
    std::vector<std::unique_ptr<soak::GatewayProcessRunner>> m_gateways;
    std::vector<std::unique_ptr<WorkerPort>> m_workers;
    std::vector<std::shared_ptr<Caller>> m_sound;
    std::size_t m_nextWorker = 0;
    std::size_t m_nextCall = 0;
    std::int64_t m_startUs = 0;
    std::vector<std::int64_t> m_crashedAtUs;
    CrashResult m_result;
};

} // namespace hawthornslip::crashes
