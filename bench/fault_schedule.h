#pragma once

#include "bench/node_group.h"
#include "bench/offline_bound.h"
#include "bench/scenario.h"
#include "tests/standins/fleet.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hawthornslip::bench {

/** Carries out the faults of a scenario on its own thread, at their times after the start. */
class FaultSchedule
{
public:
    /** @throws std::runtime_error when a fault's kind or target is unknown. */
    FaultSchedule(const Scenario &scenario, standin::Fleet &fleet, NodeGroup &nodes);
    ~FaultSchedule();
    FaultSchedule(const FaultSchedule &) = delete;
    FaultSchedule &operator=(const FaultSchedule &) = delete;

    /** Starts to count the time. */
    void start();

    /** Ends all faults that still last and stops. */
    void stop();

private:
    struct Step
    {
        Duration at{0};
        std::string text;
        std::function<void()> act;
    };

    void add(const Fault &fault);
    void addEngineFault(const Fault &fault);
    void addNodeFault(const Fault &fault);
    void addPlatformFault(const Fault &fault);
    void addStep(Duration at, std::string text, std::function<void()> act);
    /** Adds a change of engine faults at the fault's time and its reversal at its end. */
    void addEngineChange(const Fault &fault,
                         const std::function<void(standin::EngineFaults &, bool)> &change);
    void run();

    const Scenario &m_scenario;
    standin::Fleet &m_fleet;
    NodeGroup &m_nodes;
    std::vector<Step> m_steps;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopped = false;
    std::thread m_thread;
};

/** @return the token rate that the scenario's faults take away, for the offline bound. */
std::vector<CapacityLoss> capacityLosses(const Scenario &scenario);

} // namespace hawthornslip::bench
