#pragma once

#include "servers/load_generator/load_spec.h"
#include "tests/standins/application_standin.h"
#include "tests/standins/engine_standin.h"

#include <string>
#include <vector>

namespace hawthornslip::bench {

/** What goes wrong, when. */
struct Fault
{
    /** Name as in bench/README.md. */
    std::string kind;
    /** Index of the engine, application or node, counted from 1; 0 means all. */
    std::size_t target = 0;
    Duration at{0};
    /** End of the fault; no effect on faults that don't end. */
    Duration until{0};
    /** Factor or other number that the kind takes. */
    double value = 0;
};

/** A deployment's shape with time-scaled engines. */
struct Deployment
{
    std::string name;
    std::vector<std::string> domains;
    std::string model;
    std::size_t engines = 12;
    std::size_t applications = 3;
    std::vector<std::string> routes;
    standin::BatchSpec batch;
    std::uint32_t cacheBlocks = 1000;
    std::uint32_t applicationSlots = 2;
    Duration applicationWork = milliseconds(40);
    Duration oneWay{0};
    /** Rates are those at the capacity of the upstreams. */
    std::vector<LoadClass> classes;
    std::vector<LoadWorkspace> workspaces;
};

/** A load scenario. */
struct Scenario
{
    std::string name;
    Deployment deployment;
    std::size_t nodes = 6;
    /** Offered load relative to the capacity. */
    double load = 0.7;
    Duration duration = seconds(15);
    /** Overrides the spread of the answer lengths when above 0. */
    double sigmaTokens = 0;
    /** Share of all requests that the first workspace sends, when above 0. */
    double largeWorkspace = 0;
    /** Engines, counted from the last, that start without a model. */
    std::size_t coldEngines = 0;
    Duration modelLoad = seconds(2);
    std::vector<LoadPeriod> periods;
    std::vector<Fault> faults;
};

/**
 * Reads a scenario and the deployment that it names.
 *
 * @param root folder of the repository, with bench/ and examples/.
 * @param nameOrPath name of a file in bench/scenarios/ without `.toml`, or a path.
 * @throws std::runtime_error with the fault in words.
 */
Scenario readScenario(const std::string &root, const std::string &nameOrPath);

/** @return the tokens per second of one engine with a full batch. */
double engineTokensPerSecond(const standin::BatchSpec &batch);

/** @return the load that the scenario sends to @p nodes. */
LoadSpec makeLoadSpec(const Scenario &scenario, std::vector<std::string> nodes, std::uint64_t seed);

} // namespace hawthornslip::bench
