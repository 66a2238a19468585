#include "bench/bench_run.h"

#include "bench/fault_schedule.h"
#include "bench/offline_bound.h"
#include "bench/run_folder.h"
#include "bench/shared_config.h"
#include "bench/verification.h"
#include "drivers/http/curl_upstream_client.h"
#include "drivers/system/system_clock.h"
#include "servers/load_generator/load_generator.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <stdexcept>

namespace hawthornslip::bench {

namespace {

using Json = nlohmann::ordered_json;

constexpr Duration kReadyTimeout = seconds(20);
constexpr Duration kStopTimeout = seconds(30);
constexpr Duration kReadinessInterval = milliseconds(200);
constexpr const char *kDefaultPolicy = "hawthornslip";

standin::FleetSpec fleetSpec(const Scenario &scenario)
{
    const auto &deployment = scenario.deployment;
    standin::FleetSpec spec;
    spec.platform = true;
    for (std::size_t i = 0; i < deployment.engines; ++i) {
        standin::EngineSpec engine;
        engine.id = fmt::format("engine-{}", i + 1);
        engine.domain = deployment.domains[i % deployment.domains.size()];
        engine.models = {deployment.model};
        if (i + scenario.coldEngines >= deployment.engines)
            engine.models.clear();
        engine.batch = deployment.batch;
        engine.cacheBlocks = deployment.cacheBlocks;
        engine.modelLoad = scenario.modelLoad;
        engine.oneWay = deployment.oneWay;
        engine.checksFencing = i % 4 != 3;
        spec.engines.push_back(engine);
    }
    for (std::size_t i = 0; i < deployment.applications; ++i) {
        standin::ApplicationSpec application;
        application.id = fmt::format("app-{}", i + 1);
        application.domain = deployment.domains[i % deployment.domains.size()];
        application.slots = deployment.applicationSlots;
        application.oneWay = deployment.oneWay;
        spec.applications.push_back(application);
    }
    return spec;
}

/** Takes nodes out of the load generator's choice by their readiness, as a balancer does. */
class ReadinessWatch
{
public:
    ReadinessWatch(const NodeGroup &nodes, LoadGenerator &load)
        : m_thread([this, &nodes, &load] { run(nodes, load); })
    {}
    ~ReadinessWatch()
    {
        m_stopped = true;
        m_thread.join();
    }
    ReadinessWatch(const ReadinessWatch &) = delete;
    ReadinessWatch &operator=(const ReadinessWatch &) = delete;

private:
    void run(const NodeGroup &nodes, LoadGenerator &load)
    {
        while (!m_stopped) {
            for (std::size_t i = 0; i < nodes.size(); ++i)
                load.setNodeReady(i, nodes.ready(i));
            std::this_thread::sleep_for(kReadinessInterval);
        }
    }

    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

/** One run with its parts in the order in which they start. */
class BenchRun
{
public:
    explicit BenchRun(const BenchOptions &options)
        : m_options(options)
        , m_scenario(readScenario(options.root, options.scenario))
        , m_folder(options.keep)
        , m_fleet(fleetSpec(m_scenario))
    {}

    BenchResult run()
    {
        if (!m_fleet.start())
            throw std::runtime_error("the stand-ins cannot open their ports");
        m_config = makeSharedConfig(m_options.root, m_scenario, m_fleet);
        if (m_options.direct)
            return runDirect();
        startNodes();
        auto outcomes = sendLoad();
        m_clean = m_nodes->stopAll(kStopTimeout);
        m_fleet.stop();
        return report(outcomes);
    }

private:
    void startNodes()
    {
        const auto places = takePlaces(m_scenario.nodes, m_scenario.deployment.domains);
        std::vector<VmEntry> vms;
        for (const auto &it : places) {
            vms.push_back({NodeId(fmt::format("127.0.0.1:{}", it.peerPort)),
                           FailureDomain(it.domain), false});
        }
        m_fleet.platform()->setVms(vms);
        NodeGroupSpec spec;
        spec.binary = m_options.binary;
        spec.folder = m_folder.path();
        spec.platformUrl = m_fleet.platform()->url();
        spec.configFile = m_folder.write("shared.json", m_config);
        if (m_options.policy != kDefaultPolicy)
            spec.policy = m_options.policy;
        spec.places = places;
        m_nodes = std::make_unique<NodeGroup>(spec);
        if (!m_nodes->waitReady(kReadyTimeout) || !m_nodes->waitConfigured(kReadyTimeout)) {
            m_folder.keep();
            throw std::runtime_error("the nodes are not ready; logs in " + m_folder.path());
        }
        std::cerr << m_scenario.nodes << " nodes ready\n";
    }

    /** Spreads the language classes over the engines at random, without nodes and faults. */
    BenchResult runDirect()
    {
        std::erase_if(m_scenario.deployment.classes,
                      [](const LoadClass &it) { return it.application(); });
        std::vector<std::string> engines;
        for (const auto &it : m_fleet.engines())
            engines.push_back(it->url());
        CurlUpstreamClient client;
        SystemClock clock;
        m_load = std::make_unique<LoadGenerator>(makeLoadSpec(m_scenario, engines, m_options.seed),
                                                 client, clock);
        const auto outcomes = m_load->run();
        m_fleet.stop();
        m_clean = true;
        return report(outcomes);
    }

    std::vector<std::string> targets() const
    {
        std::vector<std::string> urls;
        for (std::size_t i = 0; i < m_nodes->size(); ++i)
            urls.push_back(fmt::format("http://127.0.0.1:{}", m_nodes->place(i).callerPort));
        return urls;
    }

    std::vector<LoadOutcome> sendLoad()
    {
        CurlUpstreamClient client;
        SystemClock clock;
        m_load = std::make_unique<LoadGenerator>(
                makeLoadSpec(m_scenario, targets(), m_options.seed), client, clock);
        std::cerr << m_load->plan().size() << " requests planned\n";
        FaultSchedule faults(m_scenario, m_fleet, *m_nodes);
        const ReadinessWatch watch(*m_nodes, *m_load);
        faults.start();
        auto outcomes = m_load->run(
                [](Duration now) { std::cerr << fmt::format("{:6.1f} s\n", toSeconds(now)); });
        faults.stop();
        return outcomes;
    }

    double capacity() const
    {
        return static_cast<double>(m_scenario.deployment.engines) *
               engineTokensPerSecond(m_scenario.deployment.batch);
    }

    BenchResult report(const std::vector<LoadOutcome> &outcomes)
    {
        const auto &plan = m_load->plan();
        const auto figures = makeLoadReport(m_load->spec(), plan, outcomes);
        const auto verified = verify(allRuns(m_fleet), {onceOnlyClasses(m_config, m_scenario)},
                                     plan, outcomes, figures);
        const auto losses = capacityLosses(m_scenario);
        const auto &batch = m_scenario.deployment.batch;
        const double bound = offlineGoodputBound(m_load->spec(), plan, capacity(), losses,
                                                 batch.step(batch.slots));
        Json json;
        json["scenario"] = m_scenario.name;
        json["seed"] = m_options.seed;
        json["policy"] = m_options.direct ? "direct" : m_options.policy;
        const auto load = Json::parse(loadReportJson(figures));
        json["classes"] = load["classes"];
        json["workspaces"] = load["workspaces"];
        json["goodput_tokens_per_s"] = figures.goodputTokensPerSecond;
        json["bound_tokens_per_s"] = bound;
        json["bound_with_pauses_tokens_per_s"] =
                offlineGoodputBound(m_load->spec(), plan, capacity(), losses);
        json["goodput_of_bound"] = bound > 0 ? figures.goodputTokensPerSecond / bound : 0;
        json["wasted_token_fraction"] = verified.wastedTokenFraction;
        addNodeFigures(json);
        json["damaged_answers"] = figures.damagedAnswers;
        json["clean_stop"] = m_clean;
        json["duplicate_runs"] = verified.duplicateRuns;
        json["crossed_answers"] = verified.crossedAnswers;
        json["lost_answers"] = figures.lostAnswers;
        json["not_run_but_ran"] = verified.notRunButRan;
        BenchResult result;
        result.good = m_clean && verified.duplicateRuns == 0 && verified.crossedAnswers == 0 &&
                      figures.lostAnswers == 0 && verified.notRunButRan == 0 &&
                      figures.damagedAnswers == 0;
        result.json = json.dump();
        result.table = loadReportTable(figures) +
                       fmt::format("wasted work {:.2f}%, duplicate runs {}, told not run but ran "
                                   "{}, graceful stop: {}\n",
                                   verified.wastedTokenFraction * 100, verified.duplicateRuns,
                                   verified.notRunButRan, m_clean ? "yes" : "no");
        if (!result.good) {
            m_folder.keep();
            std::cerr << "settings and logs of the nodes: " << m_folder.path() << "\n";
        }
        return result;
    }

    void addNodeFigures(Json &json)
    {
        if (m_nodes == nullptr)
            return;
        constexpr double kBytesPerMegabyte = 1e6;
        json["node_cpu_cores"] = m_nodes->cpuSeconds() / toSeconds(m_scenario.duration) /
                                 static_cast<double>(m_nodes->size());
        json["node_peak_megabytes"] = static_cast<double>(m_nodes->peakBytes()) / kBytesPerMegabyte;
        json["store_calls"] = m_fleet.platform()->counters();
    }

    const BenchOptions &m_options;
    Scenario m_scenario;
    RunFolder m_folder;
    standin::Fleet m_fleet;
    std::string m_config;
    std::unique_ptr<NodeGroup> m_nodes;
    std::unique_ptr<LoadGenerator> m_load;
    bool m_clean = false;
};

} // namespace

BenchResult runBench(const BenchOptions &options)
{
    return BenchRun(options).run();
}

} // namespace hawthornslip::bench
