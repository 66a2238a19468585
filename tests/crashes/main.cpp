#include "core/logger.h"
#include "tests/crashes/crash_run.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdint>
#include <filesystem>

/**
 * Plays one row: worker processes that end as they begin to answer certain prompts.
 *
 * @return 0 when the gateway processes keep their promises, 1 otherwise.
 */
int main(int argc, char **argv)
{
    using namespace hawthornslip::crashes; // NOLINT(google-build-using-namespace)
    std::string binary;
    std::string folder;
    std::string name;
    std::uint64_t seed = 1;
    bool isList = false;
    CLI::App app{"Worker processes that end in many ways, against real gateway processes."};
    app.add_option("--binary", binary, "The hawthornslip binary");
    app.add_option("--folder", folder, "Folder for settings and logs");
    app.add_option("--row", name, "The row to play");
    app.add_option("--seed", seed, "Seed of what is drawn");
    app.add_flag("--list", isList, "Prints the names of the rows");
    CLI11_PARSE(app, argc, argv);
    hawthornslip::setLogLevel(hawthornslip::LogLevel::Error);
    for (const auto &row : allRows()) {
        if (isList)
            fmt::print("{}\n", row.name);
        if (isList || row.name != name)
            continue;
        std::filesystem::create_directories(folder);
        const CrashResult result = CrashRun(binary, folder, row, seed).run();
        fmt::print("{:<24} {}: crashes {}, deadly arrived {}, late {}, sound served {} of {}, "
                   "sound quarantined {}; logs: attempts lost {}, crashes observed {}, "
                   "verdicts {}\n",
                   row.name, result.isGood() ? "good" : "BAD", result.crashes, result.arrivals,
                   result.lateArrivals, result.soundServed, result.soundSent,
                   result.soundQuarantined, result.attemptsLost, result.crashesObserved,
                   result.verdicts);
        return result.isGood() ? 0 : 1;
    }
    return isList ? 0 : 2;
}
