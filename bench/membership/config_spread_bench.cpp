#include "core/logger.h"
#include "modules/config/config_document.h"
#include "tests/support/sim_control_nodes.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

namespace hawthornslip::bench {

namespace {

std::string documentOf(std::size_t workspaces)
{
    SharedConfig config;
    config.generation = 1;
    for (std::size_t i = 0; i < workspaces; ++i) {
        Workspace workspace;
        workspace.id = WorkspaceId("workspace-" + std::to_string(i));
        workspace.keyHashes = {std::string(60, 'a') + fmt::format("{:04x}", i)};
        config.workspaces.push_back(workspace);
    }
    return ConfigDocument::toText(config);
}

/** @return the seconds until all nodes have the change, or -1. */
double measure(std::size_t n, std::uint64_t seed, const std::string &document, bool storeFails)
{
    test::SimControlNodes nodes(n, seed);
    nodes.startAll();
    if (!nodes.runUntil(seconds(60), [&] { return nodes.settled(); }))
        return -1;
    nodes.run(milliseconds(static_cast<std::int64_t>(2000 + seed * 170)));
    nodes[seed % n].config.apply(document, [](const ApplyResultInfo &) {});
    while (nodes.store.objects.empty())
        nodes.run(std::chrono::microseconds(100));
    nodes.store.faults.down = storeFails;
    const auto time = nodes.runUntil(seconds(120), [&] { return nodes.allHave(1); });
    return time ? toSeconds(*time) : -1;
}

void report(std::size_t n, std::size_t workspaces, bool storeFails, int seeds)
{
    const std::string document = documentOf(workspaces);
    std::vector<double> times;
    for (int seed = 1; seed <= seeds; ++seed)
        times.push_back(measure(n, static_cast<std::uint64_t>(seed), document, storeFails));
    std::sort(times.begin(), times.end());
    fmt::print("| {} | {} | {} | {:.2f} | {:.2f} |\n", n, document.size(),
               storeFails ? "fails after accepting" : "healthy", times[times.size() / 2],
               times.back());
    std::fflush(stdout);
}

} // namespace

} // namespace hawthornslip::bench

/** Measures how long a change takes until it is in force on all nodes; argument: seeds. */
int main(int argc, char **argv)
{
    using namespace hawthornslip::bench; // NOLINT(google-build-using-namespace)
    hawthornslip::setLogLevel(hawthornslip::LogLevel::Error);
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 3;
    fmt::print("| nodes | document bytes | store | median s | worst s |\n|---|---|---|---|---|\n");
    for (const std::size_t n : {9U, 360U}) {
        for (const std::size_t workspaces : {10U, 1000U}) {
            report(n, workspaces, false, seeds);
            report(n, workspaces, true, seeds);
        }
    }
    return 0;
}
