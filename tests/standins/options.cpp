#include "tests/standins/options.h"

#include "tests/standins/fleet.h"

#include <CLI/CLI.hpp>
#include <pthread.h>

#include <csignal>
#include <iostream>

namespace hawthornslip::standin {

namespace {

/** The options as read from the command line. */
struct Options
{
    std::uint16_t platformPort = 0;
    std::uint16_t enginePort = 0;
    std::uint16_t applicationPort = 0;
    int engines = 1;
    int applications = 1;
    std::vector<std::string> models = {"default"};
    std::vector<std::string> domains = {"default"};
    std::vector<std::string> routes = {"default"};
    std::vector<std::string> vms;
    std::int64_t stepUs = 20000;
    std::int64_t stepPerRunningUs = 200;
    std::int64_t prefillUs = 100;
    std::int64_t workMs = 20;
    std::int64_t modelLoadMs = 2000;
    bool ignoresFencing = false;
    BatchSpec batch;
};

void addEngineOptions(CLI::App *app, Options &options)
{
    app->add_option("--engines", options.engines, "Number of engines");
    app->add_option("--engine-port", options.enginePort, "Port of the first engine; 0: free");
    app->add_option("--models", options.models, "Models that each engine has loaded");
    app->add_option("--slots", options.batch.slots, "Requests that run at a time");
    app->add_option("--max-queue", options.batch.maxQueue, "Requests that wait in an engine");
    app->add_option("--step-us", options.stepUs, "Time of a step, microseconds");
    app->add_option("--step-per-running-us", options.stepPerRunningUs,
                    "Time that each running request adds to a step, microseconds");
    app->add_option("--prefill-us", options.prefillUs, "Time for each prompt token");
    app->add_option("--model-load-ms", options.modelLoadMs, "Time to load a model");
    app->add_flag("--ignores-fencing", options.ignoresFencing, "Takes orders with old numbers");
}

void addApplicationOptions(CLI::App *app, Options &options)
{
    app->add_option("--apps", options.applications, "Number of application services");
    app->add_option("--app-port", options.applicationPort, "Port of the first one; 0: free");
    app->add_option("--routes", options.routes, "Routes, one for each service in turn");
    app->add_option("--work-ms", options.workMs, "Time that a call takes");
}

void addPlatformOptions(CLI::App *app, Options &options)
{
    app->add_option("--platform", options.platformPort, "Port of the platform; 0: free");
    app->add_option("--vm", options.vms, "A VM as ip:port=domain; repeat for more");
}

std::vector<EngineSpec> engineSpecs(const Options &options)
{
    std::vector<EngineSpec> specs;
    for (int i = 0; i < options.engines; ++i) {
        EngineSpec spec;
        spec.id = "engine-" + std::to_string(i + 1);
        spec.domain = options.domains[static_cast<std::size_t>(i) % options.domains.size()];
        spec.models = options.models;
        spec.batch = options.batch;
        spec.batch.stepBase = Duration(options.stepUs);
        spec.batch.stepPerRunning = Duration(options.stepPerRunningUs);
        spec.batch.prefillPerToken = Duration(options.prefillUs);
        spec.checksFencing = !options.ignoresFencing;
        spec.modelLoad = milliseconds(options.modelLoadMs);
        specs.push_back(spec);
    }
    return specs;
}

std::vector<ApplicationSpec> applicationSpecs(const Options &options)
{
    std::vector<ApplicationSpec> specs;
    for (int i = 0; i < options.applications; ++i) {
        const auto index = static_cast<std::size_t>(i);
        ApplicationSpec spec;
        spec.id = "app-" + std::to_string(i + 1);
        spec.domain = options.domains[index % options.domains.size()];
        spec.route = options.routes[index % options.routes.size()];
        spec.work = milliseconds(options.workMs);
        specs.push_back(spec);
    }
    return specs;
}

std::vector<VmEntry> vmEntries(const std::vector<std::string> &texts)
{
    std::vector<VmEntry> entries;
    for (const auto &it : texts) {
        const auto mark = it.find('=');
        const auto domain = mark == std::string::npos ? "default" : it.substr(mark + 1);
        entries.push_back({NodeId(it.substr(0, mark)), FailureDomain(domain), false});
    }
    return entries;
}

int serveUntilSignal(const FleetSpec &spec)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Blocked before any thread starts, so that only sigwait() takes them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Fleet fleet(spec);
    if (!fleet.start()) {
        std::cerr << "standins: a port cannot be opened\n";
        return 1;
    }
    std::cout << fleet.addressesJson() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    fleet.stop();
    return 0;
}

} // namespace

int runFromCommandLine(int argc, char **argv)
{
    CLI::App app{"Stand-ins for the platform, engines and applications, for tests only."};
    app.require_subcommand(1);
    Options options;
    auto *platform = app.add_subcommand("platform", "Object store and VM list");
    auto *engine = app.add_subcommand("engine", "Language engines");
    auto *application = app.add_subcommand("application", "Application services");
    auto *all = app.add_subcommand("all", "Everything in one process");
    for (auto *it : {platform, all})
        addPlatformOptions(it, options);
    for (auto *it : {engine, all})
        addEngineOptions(it, options);
    for (auto *it : {application, all})
        addApplicationOptions(it, options);
    for (auto *it : {engine, application, all})
        it->add_option("--domains", options.domains, "Failure domains, in turn");
    CLI11_PARSE(app, argc, argv);

    FleetSpec spec;
    spec.platform = platform->parsed() || all->parsed();
    spec.platformPort = options.platformPort;
    spec.vms = vmEntries(options.vms);
    if (engine->parsed() || all->parsed())
        spec.engines = engineSpecs(options);
    if (application->parsed() || all->parsed())
        spec.applications = applicationSpecs(options);
    spec.enginePort = options.enginePort;
    spec.applicationPort = options.applicationPort;
    return serveUntilSignal(spec);
}

} // namespace hawthornslip::standin
