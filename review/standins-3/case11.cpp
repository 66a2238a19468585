// Case 11: one model worker crashes while requests with long lists of prompt parts wait for their
// first event there. The requests go on elsewhere. Judged are plain requests of another service.

#include "model_worker.h"

#include <cstdio>

namespace kit {

namespace {

/** A worker that answers plain requests at once. */
class PlainWorker
{
public:
    PlainWorker(Store &store, std::string id, std::string service)
        : m_store(store)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_port(freePort())
        , m_listener(m_port, [this](Socket &it) { serve(it); })
    {
        m_listener.start();
        m_heart = std::thread([this] {
            for (unsigned tick = 0; !m_isEnding; ++tick) {
                if (tick % 24 == 0)
                    m_store.write("servers", m_id,
                                  {{"service", m_service},
                                   {"address", "127.0.0.1:" + std::to_string(m_port)},
                                   {"zone", "zone-a"},
                                   {"version", "1.0"},
                                   {"slots", 6},
                                   {"state", "ready"},
                                   {"cold_left_ms", 0},
                                   {"sequence", 0},
                                   {"born", 1'700'000'000'000}});
                pause(0.05);
            }
        });
    }
    ~PlainWorker()
    {
        m_isEnding = true;
        m_heart.join();
        m_listener.stop();
    }

private:
    void serve(Socket &socket)
    {
        while (const auto request = readRequest(socket)) {
            const std::string attempt = request->headers.get("x-hawthornslip-attempt-id");
            const bool isOwn = request->headers.get("x-hawthornslip-expect-instance") == m_id;
            pause(isOwn ? 0.015 : 0);
            const Headers headers = {
                    {isOwn ? "X-Hawthornslip-Response-Stamp" : "X-Hawthornslip-Not-Executed", "1"},
                    {"X-Hawthornslip-Attempt-Id", attempt}};
            if (!answer(socket, isOwn ? 200 : 421, headers, isOwn ? std::string(800, 'x') : ""))
                return;
        }
    }

    Store &m_store;
    std::string m_id;
    std::string m_service;
    std::uint16_t m_port;
    std::atomic<bool> m_isEnding = false;
    std::thread m_heart;
    Listener m_listener;
};

double setting(const char *name, double fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::atof(text);
}

} // namespace

int runCase(int count, char **arguments)
{
    if (count != 4) {
        std::fprintf(stderr, "case11 BINARY FOLDER RECORD\n");
        return 2;
    }
    const bool isTroubled = setting("TROUBLE", 1) != 0;
    const auto parts = static_cast<unsigned>(setting("PARTS", 300));
    const double rate = setting("RATE", 90);
    constexpr double kTimeout = 1.5;
    startTime();
    try {
        Record record(arguments[3]);
        Store store(freePort());
        store.start();
        const std::string service = "slip-models";
        Json config = streamingConfig(1, service);
        config["routes"].push_back({{"name", "booking"},
                                    {"host", "models.example"},
                                    {"path_prefix", "/booking/"},
                                    {"route_kind", "non_idempotent"},
                                    {"resumable", false},
                                    {"service", "dispatch-app"},
                                    {"timeout_ms", 1500},
                                    {"goal_ms", 300},
                                    {"max_attempts", 1},
                                    {"priority", 2},
                                    {"public", true},
                                    {"sticky", false}});
        config["services"].push_back({{"name", "dispatch-app"}, {"max_conns", 110}});
        store.write("config", "main", config);
        StreamShape shape;
        shape.events = 20;
        shape.interval = 0.04;
        shape.first = 1.8;
        std::vector<std::unique_ptr<ModelWorker>> workers;
        for (const char *id : {"i-a1", "i-b2", "i-c3", "i-d4", "i-e5", "i-f6"}) {
            workers.push_back(std::make_unique<ModelWorker>(store, record, id, service, shape));
            workers.back()->start("1.4");
        }
        PlainWorker plain1(store, "i-p1", "dispatch-app");
        PlainWorker plain2(store, "i-p2", "dispatch-app");
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
        pause(1.5);
        record.line("all gateways are ready");

        std::mutex mutex;
        std::atomic<bool> isEnding = false;
        std::vector<std::thread> callers;
        std::vector<std::thread> plainCallers;
        const double begin = elapsed();
        std::thread traffic([&] {
            for (unsigned n = 0; !isEnding; ++n) {
                pauseUntil(begin + n / rate);
                callers.emplace_back([&, n] {
                    char attempt[32];
                    std::snprintf(attempt, sizeof attempt, "%08x%08x", 0xab000000U + n, n * 7919U);
                    const auto result = readStream(gateways[n % 3]->port(), attempt, "", parts);
                    record.line("stream " + result.attempt + " status " +
                                std::to_string(result.answer.status) + " events " +
                                std::to_string(result.events));
                });
            }
        });
        unsigned asked = 0;
        unsigned unanswered = 0;
        unsigned late = 0;
        double longest = 0;
        unsigned stalled = 0;
        std::thread plainTraffic([&] {
            for (unsigned n = 0; !isEnding; ++n) {
                pauseUntil(begin + n * 0.05);
                plainCallers.emplace_back([&, n] {
                    char attempt[32];
                    std::snprintf(attempt, sizeof attempt, "cd%014x", n);
                    const double sentAt = elapsed();
                    const auto socket = connectTo(gateways[n % 3]->port());
                    Answer got;
                    if (socket &&
                        socket->send("POST /booking/1 HTTP/1.1\r\nHost: models.example\r\n"
                                     "X-Hawthornslip-Attempt-Id: " +
                                     std::string(attempt) +
                                     "\r\nX-Hawthornslip-Deadline-Ms: 3000\r\n"
                                     "Content-Length: 2\r\n\r\n{}"))
                        got = readAnswer(*socket, 40);
                    const double took = elapsed() - sentAt;
                    record.line("booking " + std::string(attempt) + " sent at " +
                                std::to_string(sentAt) + " status " + std::to_string(got.status) +
                                " after " + std::to_string(took) + " s");
                    const std::lock_guard lock(mutex);
                    ++asked;
                    longest = std::max(longest, took);
                    unanswered += took > kTimeout ? 1 : 0;
                    late += took > kTimeout + 0.5 ? 1 : 0;
                });
            }
        });
        // The platform's question of each second.
        std::thread platform([&] {
            std::vector<unsigned> missed(gateways.size());
            while (!isEnding) {
                for (std::size_t i = 0; i < gateways.size(); ++i) {
                    const auto socket = connectTo(gateways[i]->readyPort());
                    int status = 0;
                    if (socket && socket->send("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n"))
                        status = readAnswer(*socket, 1).status;
                    missed[i] = status == 200 ? 0 : missed[i] + 1;
                    if (missed[i] > 0)
                        record.line("readyz of gateway " + std::to_string(i + 1) + ": " +
                                    std::to_string(status));
                    stalled += missed[i] == 2 ? 1 : 0;
                }
                pause(0.7);
            }
        });
        pauseUntil(begin + 6);
        if (isTroubled) {
            workers.front()->crash();
            pauseUntil(begin + 10);
            workers.front()->start("1.4");
        }
        pauseUntil(begin + 30);
        isEnding = true;
        traffic.join();
        plainTraffic.join();
        platform.join();
        for (auto &it : callers)
            it.join();
        for (auto &it : plainCallers)
            it.join();
        const std::string result =
                std::to_string(asked) + " bookings, " + std::to_string(unanswered) +
                " without an answer at their route's timeout, " + std::to_string(late) +
                " of them without one half a second later; the longest took " +
                std::to_string(longest) +
                " s; gateways taken out by readyz: " + std::to_string(stalled);
        record.line(result);
        std::printf("%s\n", result.c_str());
        return unanswered >= 8 && 2 * late > unanswered ? 1 : 0;
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
