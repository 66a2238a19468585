#pragma once

#include "bench/scenario.h"

#include <cstdint>
#include <string>

namespace hawthornslip::bench {

/** What to run. */
struct BenchOptions
{
    std::string scenario;
    std::uint64_t seed = 1;
    std::string policy = "hawthornslip";
    /** Folder of the repository. */
    std::string root = ".";
    /** The product binary. */
    std::string binary;
    /** Prints the table by class on standard output before the JSON. */
    bool table = false;
    /** Keeps the folder with the nodes' settings and logs. */
    bool keep = false;
    /** Sends the language classes to the engines without the router, to measure what it adds. */
    bool direct = false;
};

/** What a run gave. */
struct BenchResult
{
    /** One JSON object. */
    std::string json;
    std::string table;
    /** False when a count that has to be 0 is not, or a node did not stop in order. */
    bool good = false;
};

/**
 * Runs a scenario: stand-ins in this process, nodes as processes, the load, the faults, the stop
 * and the comparison of the upstreams' records with the callers' answers.
 *
 * @throws std::runtime_error when it cannot be run.
 */
BenchResult runBench(const BenchOptions &options);

} // namespace hawthornslip::bench
