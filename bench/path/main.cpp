#include "bench/path/token_client.h"
#include "bench/path/token_upstream.h"
#include "core/logger.h"
#include "drivers/http/curl_upstream_client.h"
#include "drivers/http/ulfius_http_server.h"
#include "drivers/system/system_clock.h"
#include "servers/caller/caller_service.h"
#include "servers/request_path/budgeted_retry_limiter.h"
#include "servers/security/key_hasher.h"
#include "tests/support/direct_gateways.h"
#include "tests/support/path_fakes.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <ctime>
#include <memory>
#include <string>

namespace hawthornslip::bench {

namespace {

double secondsOf(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    constexpr double kSecondsPerNanosecond = 1e-9;
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * kSecondsPerNanosecond;
}

std::shared_ptr<SharedConfig> configFor(std::uint16_t upstreamPort)
{
    auto config = std::make_shared<SharedConfig>();
    Workspace workspace;
    workspace.id = WorkspaceId("bench");
    workspace.keyHashes = {KeyHasher::hash("secret")};
    Profile profile;
    profile.name = ProfileName("chat");
    // Without hedges the upstream's work is the same with and without the router.
    profile.retryRatio = 0;
    Upstream upstream;
    upstream.id = UpstreamId("u");
    upstream.url = "http://127.0.0.1:" + std::to_string(upstreamPort);
    upstream.models = {ModelName("m")};
    config->workspaces = {workspace};
    config->profiles = {profile};
    config->upstreams = {upstream};
    return config;
}

/** The caller side of a node with admission that grants at once. */
struct Router
{
    explicit Router(std::uint16_t upstreamPort)
    {
        config.config = configFor(upstreamPort);
        service.registerRoutes(server);
        server.start();
    }
    ~Router() { server.stop(seconds(5)); }

    SystemClock clock;
    test::FakeMetrics metrics;
    test::FixedConfig config;
    test::DirectAdmission admission{config};
    test::MemoryClaims claims;
    BudgetedRetryLimiter retries;
    UnlimitedRateLimiter rates;
    AnswerStore answers{1 << 20, seconds(60)};
    CurlUpstreamClient upstreams;
    RequestPath path{{clock, metrics, config, admission, claims, upstreams, retries, rates, answers,
                      PathSettings()}};
    CallerService service{path, CallerService::Hooks{}};
    UlfiusHttpServer server{HttpServerSettings{}};
};

std::string latencies(const ClientFigures &figures)
{
    return fmt::format(R"("first_byte_us":{{"p50":{:.0f},"p99":{:.0f}}},)"
                       R"("token_us":{{"p50":{:.0f},"p99":{:.0f}}},"failed":{})",
                       ClientFigures::quantile(figures.firstByte, 0.5),
                       ClientFigures::quantile(figures.firstByte, 0.99),
                       ClientFigures::quantile(figures.token, 0.5),
                       ClientFigures::quantile(figures.token, 0.99), figures.failed);
}

struct Options
{
    int streams = 400;
    int tokens = 400;
    int gapMicros = 16667;
    int durationMillis = 10000;
};

int run(const Options &options)
{
    setLogLevel(LogLevel::Warning);
    TokenUpstream upstream(options.tokens, std::chrono::microseconds(options.gapMicros));
    const std::chrono::milliseconds duration(options.durationMillis);
    const auto direct = runClient(upstream.port(), options.streams, duration);
    Router router(upstream.port());
    // Client and upstream are one thread each; the rest of the process is the router.
    const auto routerCpu = [&] {
        return secondsOf(CLOCK_PROCESS_CPUTIME_ID) - secondsOf(CLOCK_THREAD_CPUTIME_ID) -
               secondsOf(upstream.cpuClock());
    };
    const double before = routerCpu();
    const auto routed = runClient(router.server.port(), options.streams, duration);
    const double cpu = routerCpu() - before;
    fmt::print(R"({{"streams":{},"direct":{{{}}},"routed":{{{}}},"requests_per_s":{:.1f},)"
               R"("tokens_per_s":{:.0f},"cores":{:.3f},"requests_per_core_s":{:.0f},)"
               R"("tokens_per_core_s":{:.0f}}})"
               "\n",
               options.streams, latencies(direct), latencies(routed),
               static_cast<double>(routed.requests) / routed.seconds,
               static_cast<double>(routed.tokens) / routed.seconds, cpu / routed.seconds,
               static_cast<double>(routed.requests) / cpu,
               static_cast<double>(routed.tokens) / cpu);
    return direct.failed + routed.failed == 0 ? 0 : 1;
}

} // namespace

} // namespace hawthornslip::bench

/** Measures what the request path adds to a direct call, on loopback. */
int main(int argc, char **argv)
{
    CLI::App app{"Measures what the request path adds to a direct call."};
    hawthornslip::bench::Options options;
    app.add_option("--streams", options.streams, "Connections with one request after another");
    app.add_option("--tokens", options.tokens, "Tokens of each answer");
    app.add_option("--gap-us", options.gapMicros, "Microseconds between two tokens");
    app.add_option("--duration-ms", options.durationMillis, "Time of each of the two runs");
    CLI11_PARSE(app, argc, argv);
    return hawthornslip::bench::run(options);
}
