#include "core/file_text.h"
#include "drivers/http/curl_upstream_client.h"
#include "drivers/system/system_clock.h"
#include "main/commands/command.h"
#include "servers/load_generator/load_generator.h"
#include "servers/load_generator/load_report.h"

#include <fmt/format.h>

#include <memory>
#include <optional>

namespace hawthornslip {

namespace {

std::optional<LoadSpec> readSpec(const std::string &path)
{
    const auto text = readFileText(path);
    if (!text) {
        fmt::print(stderr, "{}: the file cannot be read\n", path);
        return std::nullopt;
    }
    try {
        return readLoadSpec(*text);
    } catch (const std::invalid_argument &error) {
        fmt::print(stderr, "{}: {}\n", path, error.what());
        return std::nullopt;
    }
}

ExitCode runLoad(const std::string &path, const std::optional<std::uint64_t> &seed, bool json)
{
    auto spec = readSpec(path);
    if (!spec)
        return ExitCode::InvalidInput;
    spec->seed = seed.value_or(spec->seed);
    const SystemClock clock;
    CurlUpstreamClient client;
    LoadGenerator generator(*spec, client, clock);
    const auto outcomes = generator.run(
            [](Duration elapsed) { fmt::print(stderr, "load: {} s\n", toMillis(elapsed) / 1000); });
    const auto report = makeLoadReport(generator.spec(), generator.plan(), outcomes);
    fmt::print("{}\n", json ? loadReportJson(report) : loadReportTable(report));
    const bool isIntact =
            report.crossedAnswers == 0 && report.lostAnswers == 0 && report.damagedAnswers == 0;
    return isIntact ? ExitCode::Success : ExitCode::Refused;
}

} // namespace

void addLoadCommand(CLI::App &app, CommandContext &context)
{
    auto *load = app.add_subcommand("load", "Send a load and print a latency report by class");
    const auto path = std::make_shared<std::string>();
    const auto seed = std::make_shared<std::optional<std::uint64_t>>();
    load->add_option("file", *path, "JSON file with nodes, classes, workspaces and duration_ms")
            ->required();
    load->add_option("--seed", *seed, "Seed of arrivals and lengths, in place of the file's");
    addExamples(*load, "hawthornslip load rush.json --seed 7 --json");
    setCallback(*load, context, [=, &context] { return runLoad(*path, *seed, context.json); });
}

} // namespace hawthornslip
