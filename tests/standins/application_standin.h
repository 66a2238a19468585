#pragma once

#include "core/time.h"
#include "tests/standins/crashable_host.h"
#include "tests/standins/run_log.h"

#include <condition_variable>
#include <mutex>
#include <string>

namespace hawthornslip::standin {

/** The properties of an application service. */
struct ApplicationSpec
{
    std::string id = "application";
    std::string domain = "default";
    std::string route = "default";
    /** Time that a call takes unless its body says `[work_ms=N]`. */
    Duration work = milliseconds(20);
    /** Calls that run at a time; the others wait. */
    std::uint32_t slots = 16;
    /** One-way time of the network to the service. */
    Duration oneWay{0};
};

/** Faults of an application service. */
struct ApplicationFaults
{
    double straggle = 1;
    /** Answers 503 with X-Execution: not_run. */
    bool refuse = false;
    /** Number of calls cut before they run. */
    int breaksBefore = 0;
    /** Number of calls that run and get no answer. */
    int breaksAfter = 0;
};

/** A stand-in for a plain service whose calls may have an effect; each run is recorded. */
class ApplicationStandin
{
public:
    explicit ApplicationStandin(ApplicationSpec spec);
    ~ApplicationStandin();
    ApplicationStandin(const ApplicationStandin &) = delete;
    ApplicationStandin &operator=(const ApplicationStandin &) = delete;

    /** Opens the port. @return false when it cannot be opened. */
    bool start(std::uint16_t port = 0);
    /** Cuts all connections and closes the port. */
    void stop();
    /** Crashes as CrashableHost::crash(). */
    void crash(Duration restartAfter);
    void setFaults(const ApplicationFaults &faults);
    ApplicationFaults faults() const;

    std::string url() const { return m_host.http().url(); }
    std::uint16_t port() const { return m_host.http().port(); }
    const ApplicationSpec &spec() const { return m_spec; }
    const RunLog &runs() const { return m_runs; }

private:
    HttpReply handle(const HttpCall &call);
    HttpReply run(const HttpCall &call);
    /** Waits for a slot and for the work. @return false when the service crashed meanwhile. */
    bool work(Duration time);
    bool takeFault(int ApplicationFaults::*counter);
    HttpReply control(const HttpCall &call);
    void abortAll();

    ApplicationSpec m_spec;
    RunLog m_runs;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    ApplicationFaults m_faults;
    std::uint32_t m_busy = 0;
    /** Rises with each crash, so that calls of before notice it. */
    std::uint64_t m_epoch = 0;
    CrashableHost m_host;
};

} // namespace hawthornslip::standin
