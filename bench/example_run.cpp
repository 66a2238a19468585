#include "bench/example_run.h"

#include "bench/verification.h"
#include "core/file_text.h"
#include "drivers/http/curl_upstream_client.h"
#include "drivers/system/system_clock.h"
#include "servers/load_generator/load_generator.h"
#include "tests/standins/plain_http.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace hawthornslip::bench {

namespace {

using Json = nlohmann::json;

constexpr double kPercent = 100;

std::string readFile(const std::string &path)
{
    const auto text = readFileText(path);
    if (!text)
        throw std::runtime_error(path + " cannot be read");
    return *text;
}

std::uint16_t portOf(const std::string &url)
{
    return static_cast<std::uint16_t>(std::atoi(url.c_str() + url.rfind(':') + 1));
}

std::vector<standin::RunRecord> fetchRuns(const Json &config)
{
    std::vector<standin::RunRecord> runs;
    for (const auto &upstream : config.at("upstreams")) {
        const auto url = upstream.at("url").get<std::string>();
        const auto answer = standin::plainHttp(portOf(url), {"GET", "/runs", {}, ""});
        if (!answer)
            throw std::runtime_error(url + " gives no run records");
        for (const auto &it : Json::parse(answer->body).at("runs")) {
            standin::RunRecord record;
            record.requestId = it.at("request_id").get<std::string>();
            record.idempotencyKey = it.at("idempotency_key").get<std::string>();
            record.marker = it.at("user").get<std::string>();
            record.tokens = it.at("tokens").get<std::uint32_t>();
            runs.push_back(record);
        }
    }
    return runs;
}

OnceOnly onceOnly(const Json &config, const LoadSpec &spec)
{
    OnceOnly once;
    for (const auto &loadClass : spec.classes) {
        bool idempotent = true;
        for (const auto &it : config.at("profiles")) {
            if (it.at("name") == loadClass.profile)
                idempotent = it.at("idempotent").get<bool>();
        }
        once.byClass.push_back(!idempotent);
    }
    return once;
}

/** @return true when nothing failed that has no cause in this undisturbed load. */
bool allWell(const LoadReport &report, const Verification &verified)
{
    bool well = verified.duplicateRuns == 0 && verified.crossedAnswers == 0 &&
                verified.notRunButRan == 0 && report.lostAnswers == 0 && report.damagedAnswers == 0;
    for (const auto &it : report.classes)
        well = well && it.failed == 0 && it.answered > 0;
    return well;
}

} // namespace

BenchResult runExample(const std::string &folder)
{
    const auto config = Json::parse(readFile(folder + "/shared.json"));
    CurlUpstreamClient client;
    SystemClock clock;
    LoadGenerator load(readLoadSpec(readFile(folder + "/load.json")), client, clock);
    const auto outcomes =
            load.run([](Duration now) { std::cerr << fmt::format("{:6.1f} s\n", toSeconds(now)); });
    const auto report = makeLoadReport(load.spec(), load.plan(), outcomes);
    const auto verified =
            verify(fetchRuns(config), onceOnly(config, load.spec()), load.plan(), outcomes, report);
    BenchResult result;
    result.good = allWell(report, verified);
    result.table = loadReportTable(report) +
                   fmt::format("wasted work {:.2f}%, duplicate runs {}, told not run but ran {}\n",
                               verified.wastedTokenFraction * kPercent, verified.duplicateRuns,
                               verified.notRunButRan);
    result.json = loadReportJson(report);
    return result;
}

} // namespace hawthornslip::bench
