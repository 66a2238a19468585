#pragma once

#include "core/interfaces/connection_probe.h"
#include "core/interfaces/upstream_client.h"
#include "tests/support/manual_loop.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hawthornslip::test {

/** Engines that end when they begin to answer a prompt with certain segments, or when told to. */
class CrashingEngines : public UpstreamClient, public ConnectionProbe
{
public:
    explicit CrashingEngines(ManualLoop &loop)
        : m_loop(loop)
    {}

    /** A request that reached an engine. */
    struct Arrival
    {
        TimePoint at{};
        bool isDeadly = false;
    };

    /** Segments on which an engine ends. */
    std::set<std::string> deadlySegments;
    std::vector<Arrival> arrivals;
    /** What a probe sees of an engine that is down. */
    ProbeResult downProbe = ProbeResult::Refused;
    /** Ids of the requests that reached an engine. */
    std::set<std::string> reached;
    std::vector<TimePoint> crashes;
    /** Times between the end of an engine and a request that could not connect to it. */
    std::vector<Duration> refusedAfter;

    std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                       std::shared_ptr<UpstreamHandler> handler) override
    {
        auto run = std::make_shared<Run>();
        run->handler = std::move(handler);
        for (const auto &[name, value] : request.headers) {
            if (name == "shared")
                run->isDeadly =
                        run->isDeadly || deadlySegments.contains(value.substr(0, value.find(':')));
            else if (name == "id")
                run->id = value;
        }
        const auto start = request.url.find("//") + 2;
        const auto address = request.url.substr(start, request.url.find('/', start) - start);
        m_loop.after(kLatency, [this, run, address] { arrive(run, address); });
        return std::make_shared<Call>(run);
    }

    void probe(const std::string &address, std::function<void(ProbeResult)> done) override
    {
        m_loop.after(kLatency, [this, address, done = std::move(done)] {
            const bool isDown = m_loop.now() < m_engines[address].downUntil;
            done(isDown ? downProbe : ProbeResult::Answered);
        });
    }

    /** Ends the engine at @p address with all its requests; it is back after some seconds. */
    void crash(const std::string &address)
    {
        Engine &engine = m_engines[address];
        engine.downUntil = m_loop.now() + kDownTime;
        crashes.push_back(m_loop.now());
        for (const auto &it : std::exchange(engine.runs, {}))
            end(it, UpstreamResult::Broken);
    }

private:
    static constexpr Duration kLatency = milliseconds(1);
    static constexpr Duration kPrefill = milliseconds(300);
    static constexpr Duration kFirstEvent = milliseconds(40);
    static constexpr Duration kEventInterval = milliseconds(100);
    static constexpr Duration kDownTime = seconds(4);
    static constexpr int kEvents = 10;

    struct Run
    {
        std::shared_ptr<UpstreamHandler> handler;
        std::string id;
        bool isDeadly = false;
        bool ended = false;
    };
    struct Engine
    {
        TimePoint downUntil{};
        std::vector<std::shared_ptr<Run>> runs;
    };
    class Call : public UpstreamCall
    {
    public:
        explicit Call(std::shared_ptr<Run> run)
            : m_run(std::move(run))
        {}
        void cancel() override { end(m_run, UpstreamResult::Cancelled); }
        void resume() override {}

    private:
        std::shared_ptr<Run> m_run;
    };

    static void end(const std::shared_ptr<Run> &run, UpstreamResult result)
    {
        if (!std::exchange(run->ended, true))
            run->handler->onEnd({result, 0, "scripted", false});
    }

    void arrive(const std::shared_ptr<Run> &run, const std::string &address)
    {
        Engine &engine = m_engines[address];
        if (m_loop.now() < engine.downUntil) {
            refusedAfter.push_back(m_loop.now() - (engine.downUntil - kDownTime));
            end(run, UpstreamResult::ConnectFailed);
            return;
        }
        if (run->ended)
            return;
        arrivals.push_back({m_loop.now(), run->isDeadly});
        reached.insert(run->id);
        engine.runs.push_back(run);
        m_loop.after(kPrefill, [this, run, address] { begin(run, address); });
    }

    void begin(const std::shared_ptr<Run> &run, const std::string &address)
    {
        if (run->ended)
            return;
        run->handler->onHeaders(
                200, {{"proof", "1"}, {"id", run->id}, {"content-type", "text/event-stream"}});
        m_loop.after(kFirstEvent, [this, run, address] {
            if (run->ended)
                return;
            if (run->isDeadly)
                crash(address);
            else
                write(run, address, 1);
        });
    }

    void write(const std::shared_ptr<Run> &run, const std::string &address, int event)
    {
        if (run->ended)
            return;
        run->handler->onData("id: " + std::to_string(event) + "\ndata: x\n\n");
        if (event == kEvents) {
            std::erase(m_engines[address].runs, run);
            end(run, UpstreamResult::Complete);
            return;
        }
        m_loop.after(kEventInterval,
                     [this, run, address, event] { write(run, address, event + 1); });
    }

    ManualLoop &m_loop;
    std::map<std::string, Engine> m_engines;
};

} // namespace hawthornslip::test
