#include "bench/fault_schedule.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <stdexcept>

namespace hawthornslip::bench {

namespace {

/** @return the fault's end, or the end of the load when it names none. */
Duration endOf(const Fault &fault, const Scenario &scenario)
{
    return fault.until > fault.at ? fault.until : scenario.duration;
}

} // namespace

FaultSchedule::FaultSchedule(const Scenario &scenario, standin::Fleet &fleet, NodeGroup &nodes)
    : m_scenario(scenario)
    , m_fleet(fleet)
    , m_nodes(nodes)
{
    for (const auto &it : scenario.faults)
        add(it);
    std::stable_sort(m_steps.begin(), m_steps.end(),
                     [](const Step &a, const Step &b) { return a.at < b.at; });
}

FaultSchedule::~FaultSchedule()
{
    stop();
}

void FaultSchedule::addStep(Duration at, std::string text, std::function<void()> act)
{
    m_steps.push_back({at, std::move(text), std::move(act)});
}

void FaultSchedule::add(const Fault &fault)
{
    const std::size_t engines = m_fleet.engines().size();
    if (fault.kind == "straggle" || fault.kind == "load_lag" || fault.kind == "engine_crash" ||
        fault.kind == "load_model") {
        if (fault.target > engines)
            throw std::runtime_error("a fault names an unknown engine");
        addEngineFault(fault);
    } else if (fault.kind == "node_kill" || fault.kind == "node_stop" ||
               fault.kind == "node_pause") {
        if (fault.target < 1 || fault.target > m_nodes.size())
            throw std::runtime_error("a fault names an unknown node");
        addNodeFault(fault);
    } else if (fault.kind.rfind("store_", 0) == 0 || fault.kind == "lost_answers") {
        addPlatformFault(fault);
    } else {
        throw std::runtime_error("unknown kind of fault: " + fault.kind);
    }
}

void FaultSchedule::addEngineChange(
        const Fault &fault, const std::function<void(standin::EngineFaults &, bool)> &change)
{
    for (std::size_t i = 0; i < m_fleet.engines().size(); ++i) {
        if (fault.target != 0 && fault.target != i + 1)
            continue;
        auto &engine = *m_fleet.engines()[i];
        for (const bool begin : {true, false}) {
            const auto text = fmt::format("{} {} engine {}", fault.kind,
                                          begin ? "begins at" : "ends at", i + 1);
            addStep(begin ? fault.at : endOf(fault, m_scenario), text, [&engine, change, begin] {
                auto faults = engine.faults();
                change(faults, begin);
                engine.setFaults(faults);
            });
        }
    }
}

void FaultSchedule::addEngineFault(const Fault &fault)
{
    const double value = fault.value;
    if (fault.kind == "straggle") {
        addEngineChange(fault, [value](standin::EngineFaults &faults, bool begin) {
            faults.straggle = begin ? value : 1;
        });
    } else if (fault.kind == "load_lag") {
        addEngineChange(fault, [value](standin::EngineFaults &faults, bool begin) {
            faults.loadLag = begin ? milliseconds(static_cast<std::int64_t>(value)) : Duration(0);
        });
    } else if (fault.kind == "engine_crash") {
        auto &engine = *m_fleet.engines().at(fault.target - 1);
        const auto restart = endOf(fault, m_scenario) - fault.at;
        addStep(fault.at, fmt::format("engine {} crashes", fault.target),
                [&engine, restart] { engine.crash(restart); });
    } else {
        auto &engine = *m_fleet.engines().at(fault.target - 1);
        const nlohmann::json order = {
                {"kind", "load_model"}, {"model", m_scenario.deployment.model}, {"fencing", 1}};
        addStep(fault.at, fmt::format("engine {} loads the model", fault.target),
                [&engine, body = order.dump()] {
                    const auto now = std::chrono::steady_clock::now();
                    engine.orders().take(std::chrono::time_point_cast<Duration>(now), body);
                });
    }
}

void FaultSchedule::addNodeFault(const Fault &fault)
{
    const std::size_t index = fault.target - 1;
    if (fault.kind == "node_kill") {
        addStep(fault.at, fmt::format("node {} is killed", fault.target),
                [this, index] { m_nodes.node(index).kill(); });
        if (fault.until > fault.at) {
            addStep(fault.until, fmt::format("node {} starts again", fault.target),
                    [this, index] { m_nodes.restart(index); });
        }
    } else if (fault.kind == "node_stop") {
        addStep(fault.at, fmt::format("node {} is stopped", fault.target),
                [this, index] { m_nodes.node(index).signal(SIGTERM); });
    } else {
        addStep(fault.at, fmt::format("node {} is paused", fault.target),
                [this, index] { m_nodes.node(index).signal(SIGSTOP); });
        addStep(endOf(fault, m_scenario), fmt::format("node {} continues", fault.target),
                [this, index] { m_nodes.node(index).signal(SIGCONT); });
    }
}

void FaultSchedule::addPlatformFault(const Fault &fault)
{
    auto &platform = *m_fleet.platform();
    if (fault.kind == "lost_answers") {
        addStep(fault.at, "answers of the store are lost", [&platform, fault] {
            auto faults = platform.faults();
            faults.lostAnswers = static_cast<int>(fault.value);
            platform.setFaults(faults);
        });
        return;
    }
    const auto down = fault.kind == "store_hangs" ? standin::PlatformFaults::Down::Hangs
                                                  : standin::PlatformFaults::Down::Refuses;
    const auto slow = milliseconds(static_cast<std::int64_t>(fault.value));
    const bool slowOnly = fault.kind == "store_slow";
    addStep(fault.at, fault.kind + " begins", [&platform, down, slow, slowOnly] {
        auto faults = platform.faults();
        faults.down = slowOnly ? standin::PlatformFaults::Down::No : down;
        faults.slow = slowOnly ? slow : Duration(0);
        platform.setFaults(faults);
    });
    addStep(endOf(fault, m_scenario), fault.kind + " ends", [&platform] {
        auto faults = platform.faults();
        faults.down = standin::PlatformFaults::Down::No;
        faults.slow = Duration(0);
        platform.setFaults(faults);
    });
}

void FaultSchedule::start()
{
    m_thread = std::thread([this] { run(); });
}

void FaultSchedule::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void FaultSchedule::run()
{
    const auto start = std::chrono::steady_clock::now();
    for (const auto &it : m_steps) {
        std::unique_lock lock(m_mutex);
        // After the stop the steps left are done at once, so that each fault is reverted.
        m_changed.wait_until(lock, start + it.at, [this] { return m_stopped; });
        const bool stopped = m_stopped;
        lock.unlock();
        if (!stopped || it.text.find("ends") != std::string::npos ||
            it.text.find("continues") != std::string::npos) {
            std::cerr << fmt::format("{:6.2f} s  {}\n", toSeconds(it.at), it.text);
            it.act();
        }
    }
}

std::vector<CapacityLoss> capacityLosses(const Scenario &scenario)
{
    const double whole = engineTokensPerSecond(scenario.deployment.batch);
    std::vector<CapacityLoss> losses;
    for (const auto &it : scenario.faults) {
        const double engines =
                it.target == 0 ? static_cast<double>(scenario.deployment.engines) : 1;
        if (it.kind == "straggle" && it.value > 1)
            losses.push_back({it.at, endOf(it, scenario), engines * whole * (1 - 1 / it.value)});
        if (it.kind == "engine_crash")
            losses.push_back({it.at, endOf(it, scenario), whole});
        if (it.kind == "load_model")
            losses.push_back({Duration(0), it.at + scenario.modelLoad, whole});
    }
    return losses;
}

} // namespace hawthornslip::bench
