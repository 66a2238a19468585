#include "bench/bench_run.h"
#include "bench/example_run.h"
#include "main/version.h"

#include <CLI/CLI.hpp>

#include <exception>
#include <filesystem>
#include <iostream>

/**
 * Entry point of the runner of load scenarios.
 *
 * @return 0 when all counts that have to be 0 are, 1 when not, 2 when the run could not be made.
 */
int main(int argc, char **argv)
{
    CLI::App app{"Runs one load scenario against nodes and stand-ins on this machine."};
    app.set_version_flag("--version", std::string(hawthornslip::versionText()));
    hawthornslip::bench::BenchOptions options;
    options.binary = std::filesystem::absolute(argv[0]).parent_path() / "hawthornslip";
    std::string example;
    auto *what = app.add_option_group("what")->require_option(1);
    what->add_option("--scenario", options.scenario, "Name in bench/scenarios/ or path");
    what->add_option("--example", example, "Folder of an example whose processes run");
    app.add_option("--seed", options.seed, "Seed of the arrivals and lengths");
    app.add_option("--policy", options.policy, "Scheduling policy of the nodes")
            ->check(CLI::IsMember({"hawthornslip", "round_robin", "least_in_flight"}));
    app.add_option("--root", options.root, "Folder of the repository");
    app.add_option("--binary", options.binary, "The product binary");
    app.add_flag("--table", options.table, "Print the table by class before the JSON");
    app.add_flag("--direct", options.direct, "Send to the engines without the router");
    app.add_flag("--keep", options.keep, "Keep the nodes' settings and logs");
    CLI11_PARSE(app, argc, argv);
    try {
        const auto result = example.empty() ? hawthornslip::bench::runBench(options)
                                            : hawthornslip::bench::runExample(example);
        if (options.table)
            std::cout << result.table;
        std::cout << result.json << std::endl;
        return result.good ? 0 : 1;
    } catch (const std::exception &fault) {
        std::cerr << "bench_runner: " << fault.what() << "\n";
        return 2;
    }
}
