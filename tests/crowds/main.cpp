#include "core/logger.h"
#include "tests/crowds/crowd_run.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <filesystem>

/**
 * Lets crowds of misbehaving callers and workers at a gateway process, one after the other.
 *
 * @return 0 when the process keeps its promises with each of them, 1 otherwise.
 */
int main(int argc, char **argv)
{
    using namespace hawthornslip::crowds; // NOLINT(google-build-using-namespace)
    std::string binary;
    std::string folder;
    std::string only;
    CLI::App app{"Crowds of misbehaving connections against real gateway processes."};
    app.add_option("--binary", binary, "The hawthornslip binary")->required();
    app.add_option("--folder", folder, "Folder for settings and logs")->required();
    app.add_option("--crowd", only, "Plays this crowd only");
    CLI11_PARSE(app, argc, argv);
    hawthornslip::setLogLevel(hawthornslip::LogLevel::Error);
    bool isGood = true;
    for (const auto &crowd : allCrowds()) {
        if (!only.empty() && crowd.name != only)
            continue;
        const std::string place = folder + "/" + crowd.name;
        std::filesystem::create_directories(place);
        const CrowdResult result = CrowdRun(binary, place).run(crowd);
        fmt::print("{:<14} {}: ready {}, lives {}, peak {} KiB of {}, descriptors {} of {}, "
                   "ordinary {}, largest {}\n",
                   crowd.name, result.isGood() ? "good" : "BAD", result.isReady, result.lives,
                   result.peakKb, CrowdRun::kMemoryMb << 10, result.descriptors,
                   CrowdRun::kDescriptors, result.ordinaryStatus, result.largestStatus);
        std::fflush(stdout);
        isGood = isGood && result.isGood();
    }
    return isGood ? 0 : 1;
}
