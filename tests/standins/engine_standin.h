#pragma once

#include "tests/standins/batch_model.h"
#include "tests/standins/crashable_host.h"
#include "tests/standins/engine_stream.h"
#include "tests/standins/order_handler.h"
#include "tests/standins/prefix_cache.h"
#include "tests/standins/run_log.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hawthornslip::standin {

/** The properties of an engine. */
struct EngineSpec
{
    std::string id = "engine";
    std::string domain = "default";
    std::vector<std::string> models = {"default"};
    BatchSpec batch;
    std::uint32_t cacheBlocks = 2000;
    bool checksFencing = true;
    Duration modelLoad = seconds(2);
    /** One-way time of the network to the engine. */
    Duration oneWay{0};
};

/** Faults of an engine that last until changed, or concern the next so many answers. */
struct EngineFaults
{
    /** Factor by which the engine is slower. */
    double straggle = 1;
    /** Age of the load that the engine reports. */
    Duration loadLag{0};
    bool paused = false;
    /** Answers 503 with X-Execution: not_run. */
    bool refuse = false;
    /** Takes no new requests, as before a planned stop, and lets the running ones end. */
    bool draining = false;
    /** Number of answers that break off after breakAfterTokens tokens. */
    int breaks = 0;
    std::uint32_t breakAfterTokens = 3;
    int wrongIds = 0;
    int skippedTokens = 0;
    int repeatedTokens = 0;
};

/** A stand-in for a language engine. */
class EngineStandin
{
public:
    explicit EngineStandin(EngineSpec spec);
    ~EngineStandin();
    EngineStandin(const EngineStandin &) = delete;
    EngineStandin &operator=(const EngineStandin &) = delete;

    /** Opens the port. @return false when it cannot be opened. */
    bool start(std::uint16_t port = 0);
    /** Cuts all connections and closes the port. */
    void stop();
    /** Crashes as CrashableHost::crash(); the cache and the loaded orders are lost. */
    void crash(Duration restartAfter);

    /** Sets all faults. */
    void setFaults(const EngineFaults &faults);
    EngineFaults faults() const;

    std::string url() const { return m_host.http().url(); }
    std::uint16_t port() const { return m_host.http().port(); }
    const EngineSpec &spec() const { return m_spec; }
    const RunLog &runs() const { return m_runs; }
    OrderHandler &orders() { return m_orders; }
    /** @return the requests running now. */
    std::uint32_t running() const;

private:
    struct LoadSample
    {
        TimePoint at;
        std::uint32_t running = 0;
        std::uint32_t queued = 0;
    };

    HttpReply handle(const HttpCall &call);
    HttpReply complete(const HttpCall &call);
    HttpReply load() const;
    HttpReply control(const HttpCall &call);
    /** Queues the request. @return false when the queue is full. */
    bool submit(const std::shared_ptr<EngineStream> &stream, const HttpCall &call,
                const std::string &prompt, std::uint32_t firstToken);
    void applyFaults(EngineStream::About &about, std::uint32_t firstToken);
    void runLoop();
    void handleEvent(const BatchEvent &event);
    void dropClosed();
    void sampleLoad(TimePoint now);
    void abortAll();

    EngineSpec m_spec;
    RunLog m_runs;
    OrderHandler m_orders;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    BatchModel m_batch;
    PrefixCache m_cache;
    EngineFaults m_faults;
    std::uint64_t m_nextHandle = 1;
    struct Active
    {
        std::shared_ptr<EngineStream> stream;
        std::string key;
        std::string marker;
    };
    std::map<std::uint64_t, Active> m_active;
    std::string m_lastId;
    std::deque<LoadSample> m_samples;
    bool m_closing = false;
    CrashableHost m_host;
    std::thread m_loop;
};

} // namespace hawthornslip::standin
