#include "core/logger.h"
#include "tests/soak/soak_run.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <filesystem>

/** Plays one seed of the soak. @return 0 when every promise held, 1 otherwise. */
int main(int argc, char **argv)
{
    using namespace hawthornslip::soak; // NOLINT(google-build-using-namespace)
    SoakOptions options;
    double length = 14;
    CLI::App app{"Randomized soak of real gateway processes against stand-ins."};
    app.add_option("--binary", options.binary, "The hawthornslip binary")->required();
    app.add_option("--folder", options.folder, "Folder for settings and logs")->required();
    app.add_option("--seed", options.seed, "Seed of faults and load");
    app.add_option("--gateways", options.gateways, "Gateway processes");
    app.add_option("--workers", options.workers, "Worker stand-ins");
    app.add_option("--rate", options.rate, "Requests a second of all callers");
    app.add_option("--kept-callers", options.keptCallers,
                   "Callers that keep a connection, at each gateway");
    app.add_option("--length", length, "Seconds of load");
    app.add_flag("--verbose", options.isVerbose, "Print the faults");
    CLI11_PARSE(app, argc, argv);
    options.length = hawthornslip::milliseconds(static_cast<std::int64_t>(length * 1000));
    hawthornslip::setLogLevel(hawthornslip::LogLevel::Error);
    std::filesystem::create_directories(options.folder);
    SoakRun run(options);
    const auto violations = run.run();
    for (const auto &it : violations)
        fmt::print("seed {}: {}\n", options.seed, it);
    std::string statuses;
    for (const auto &[status, n] : run.judge().statuses())
        statuses += fmt::format(" {}:{}", status, n);
    std::string ends;
    for (const auto &[end, n] : run.judge().wireEnds())
        ends += fmt::format(" {}:{}", hawthornslip::nameOf(kWireEndNames, end), n);
    fmt::print("seed {}: {}, statuses{}, on kept connections{}\n", options.seed,
               violations.empty() ? "kept every promise" : "BROKEN", statuses, ends);
    return violations.empty() ? 0 : 1;
}
