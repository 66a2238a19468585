// Case 12: a stream begins at a worker that has come back under its id with newer software while
// the store is down; the worker breaks off once the store is back and its entry is known.

#include "model_worker.h"

#include <cstdio>

namespace kit {

int runCase(int count, char **arguments)
{
    if (count != 4) {
        std::fprintf(stderr, "case12 BINARY FOLDER RECORD\n");
        return 2;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    startTime();
    try {
        Record record(arguments[3]);
        Store store(freePort());
        store.start();
        const std::string service = "slip-models";
        store.write("config", "main", streamingConfig(1, service));
        StreamShape shape;
        shape.events = 45;
        std::vector<std::unique_ptr<ModelWorker>> workers;
        for (const char *id : {"i-a1", "i-b2", "i-c3", "i-d4", "i-e5", "i-f6"}) {
            workers.push_back(std::make_unique<ModelWorker>(store, record, id, service, shape));
            workers.back()->start("1.4");
        }
        std::vector<std::unique_ptr<GatewayProcess>> gateways;
        for (const char *name : {"edge-1", "edge-2", "edge-3"}) {
            GatewayProcess::Settings settings;
            settings.name = name;
            settings.store = store.address();
            gateways.push_back(
                    std::make_unique<GatewayProcess>(arguments[1], arguments[2], settings));
            gateways.back()->start();
        }
        for (const auto &it : gateways) {
            if (!waitReady(it->readyPort())) {
                record.line("a gateway is not ready");
                return 2;
            }
        }
        record.line("all gateways are ready");

        std::mutex mutex;
        std::vector<StreamResult> results;
        std::atomic<bool> isEnding = false;
        std::vector<std::thread> callers;
        const double begin = elapsed();
        std::thread traffic([&] {
            for (unsigned n = 0; !isEnding; ++n) {
                pauseUntil(begin + n * 0.02);
                callers.emplace_back([&, n] {
                    char attempt[32];
                    std::snprintf(attempt, sizeof attempt, "%08x%08x", 0xab000000U + n, n * 7919U);
                    auto result = readStream(gateways[n % 3]->port(), attempt);
                    std::string versions;
                    for (const auto &it : result.versions)
                        versions += " " + it;
                    record.line("answer " + result.attempt + " status " +
                                std::to_string(result.answer.status) + " events " +
                                std::to_string(result.events) +
                                (result.answer.isComplete ? " whole" : " broken off") +
                                " versions" + versions);
                    const std::lock_guard lock(mutex);
                    results.push_back(std::move(result));
                });
            }
        });
        ModelWorker &worker = *workers.front();
        pauseUntil(begin + 4);
        if (isTroubled) {
            record.line("the store is down");
            store.setDown(true);
        }
        pauseUntil(begin + 4.2);
        worker.crash();
        pauseUntil(begin + 4.5);
        worker.start("1.5");
        pauseUntil(begin + 8.5);
        if (isTroubled) {
            store.setDown(false);
            record.line("the store is back");
        }
        // Its entry is in the store again; all gateways have it within a second.
        pauseUntil(begin + 10.0);
        worker.crash();
        pauseUntil(begin + 12);
        worker.start("1.5");
        pauseUntil(begin + 14);
        isEnding = true;
        traffic.join();
        for (auto &it : callers)
            it.join();

        unsigned mixed = 0;
        unsigned whole = 0;
        for (const auto &it : results) {
            whole += it.answer.isComplete && it.events == shape.events ? 1 : 0;
            if (it.versions.size() > 1) {
                ++mixed;
                record.line("MIXED VERSIONS in the answer to " + it.attempt);
            }
        }
        record.line(std::to_string(results.size()) + " streams asked for, " +
                    std::to_string(whole) + " whole, " + std::to_string(mixed) +
                    " with events of two software versions");
        std::printf("%u streams with events of two software versions (more than 2 break ORDER)\n",
                    mixed);
        if (whole < 20)
            return 2;
        return mixed > 2 ? 1 : 0;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}

} // namespace kit

int main(int count, char **arguments)
{
    return kit::runCase(count, arguments);
}
