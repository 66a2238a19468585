#include "review/standins/deployment.h"
#include "review/standins/worker.h"
#include "tests/soak/fault_proxy.h"

#include <fmt/format.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace hawthornslip;         // NOLINT(google-build-using-namespace)
using namespace hawthornslip::review; // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

constexpr Duration kDrainWithin = milliseconds(2000);
// A worker that leaves serves for drain_ms and a little longer, at times many seconds.
constexpr Duration kServesOn = milliseconds(4500);
constexpr Duration kWork = milliseconds(60);
constexpr Duration kCallInterval = milliseconds(50);
constexpr std::size_t kGateways = 3;
constexpr std::size_t kWorkers = 3;
constexpr Duration kCutAt = seconds(3);
constexpr Duration kCutLength = milliseconds(5500);
constexpr Duration kLeavesAt = milliseconds(3500);
constexpr Duration kLength = seconds(12);
constexpr const char *kKey = "n2ctnfzs989anu6wsjnb";

/** A request that was sent. */
struct Sent
{
    std::size_t gateway = 0;
    TimePoint at{};
    std::string worker;
};

/** One gateway is cut off from the store while a worker leaves. */
class Leave
{
public:
    explicit Leave(const std::string &recordPath)
        : m_deployment(recordPath)
    {}

    Outcome run()
    {
        const Json tenants = {{{"name", "hule930"}, {"api_keys", {kKey}}, {"priority", 0}}};
        for (std::size_t i = 0; i < kWorkers; ++i)
            startWorker(fmt::format("i-7f3a91c{}", i));
        m_deployment.store().put("config", "main", makeConfig(7, tenants));
        std::vector<std::uint16_t> ports;
        for (std::size_t i = 0; i < kGateways; ++i) {
            m_proxies.push_back(std::make_unique<soak::FaultProxy>(m_deployment.loop(),
                                                                   m_deployment.storePort()));
            ports.push_back(m_proxies.back()->start());
        }
        if (!m_deployment.startGateways(ports))
            return Outcome::CouldNotRun;
        m_deployment.every(kCallInterval, [this] { callAll(); });
        auto &loop = m_deployment.loop();
        if (Deployment::hasTrouble())
            loop.after(kCutAt, [this] { cut(); });
        loop.after(kLeavesAt, [this] { leave(); });
        m_deployment.run(kLength);
        for (const auto &[text, n] : m_answers)
            m_deployment.record().line(fmt::format("answers: {} x {}", n, text));
        return m_deployment.outcome();
    }

private:
    void startWorker(const std::string &id)
    {
        m_workers.push_back(std::make_unique<Worker>(m_deployment.loop(), id, kWork,
                                                     [this](const Arrival &it) { onRun(it); }));
        m_workers.back()->start();
        m_entries[id] = m_workers.back()->entry(kService, "ready");
        m_deployment.store().put("servers", id, m_entries[id]);
    }

    /** Cuts the first gateway off from the store. */
    void cut()
    {
        m_proxies.front()->setSilent(true, true);
        m_deployment.record().line("gateway0 is cut off from the store");
        m_deployment.loop().after(kCutLength, [this] {
            m_proxies.front()->resetAll();
            m_proxies.front()->setSilent(false, false);
            m_deployment.record().line("gateway0 reaches the store again");
        });
    }

    void leave()
    {
        Worker &worker = *m_workers.front();
        Json entry = m_entries.at(worker.id());
        entry["state"] = "draining";
        m_deployment.store().put("servers", worker.id(), entry);
        worker.sayLeaving();
        m_deployment.record().line("the store has acknowledged that " + worker.id() +
                                   " is draining; all its answers say so from now on");
        m_deployment.loop().after(kServesOn, [this] {
            Worker &leaving = *m_workers.front();
            m_deployment.record().line(fmt::format("{} exits with {} requests at work",
                                                   leaving.id(), leaving.running()));
            leaving.exit();
            m_deployment.store().remove("servers", leaving.id());
        });
    }

    void callAll()
    {
        for (std::size_t i = 0; i < m_deployment.gateways().size(); ++i) {
            call(i, "POST", kOrderPath, kKey);
            call(i, "GET", kPublicPath, "");
        }
    }

    void call(std::size_t gateway, const std::string &method, const std::string &path,
              const std::string &key)
    {
        CallerRequest request;
        request.port = m_deployment.gateways()[gateway]->callers();
        request.method = method;
        request.path = path;
        request.key = key;
        request.attempt = m_deployment.callers().nextAttempt();
        m_sent[request.attempt] = {gateway, m_deployment.loop().now(), ""};
        m_deployment.callers().send(
                request, [this, attempt = request.attempt, method](const CallerAnswer &answer) {
                    onAnswer(m_sent.at(attempt), method, answer);
                });
    }

    void onAnswer(const Sent &sent, const std::string &method, const CallerAnswer &answer)
    {
        ++m_answers[fmt::format("{} for {} through gateway{}", answer.status, method,
                                sent.gateway)];
        const auto key = std::pair(sent.gateway, sent.worker);
        if (!answer.saysLeaving || m_toldAt.contains(key))
            return;
        m_toldAt[key] = m_deployment.loop().now();
        m_deployment.record().line(fmt::format("gateway{} has passed on an answer of {} with "
                                               "Server-Leaving",
                                               sent.gateway, sent.worker));
    }

    void onRun(const Arrival &arrival)
    {
        m_deployment.record().line(fmt::format("run {} at {} for tenant \"{}\"", arrival.attempt,
                                               arrival.worker, arrival.tenant));
        Sent &sent = m_sent.at(arrival.attempt);
        sent.worker = arrival.worker;
        const auto told = m_toldAt.find(std::pair(sent.gateway, arrival.worker));
        if (told == m_toldAt.end() || sent.at - told->second <= kDrainWithin)
            return;
        m_deployment.record().broken(
                fmt::format("DRAIN: request {} to {} reaches {} from gateway{}; it was sent {} ms "
                            "after this gateway had passed on that the worker leaves",
                            arrival.attempt, arrival.path, arrival.worker, sent.gateway,
                            toMillis(sent.at - told->second)));
    }

    Deployment m_deployment;
    std::vector<std::unique_ptr<soak::FaultProxy>> m_proxies;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::map<std::string, Json> m_entries;
    std::map<std::string, Sent> m_sent;
    std::map<std::pair<std::size_t, std::string>, TimePoint> m_toldAt;
    std::map<std::string, int> m_answers;
};

} // namespace

int main(int argc, char **argv)
{
    return argc == 2 ? static_cast<int>(Leave(argv[1]).run())
                     : static_cast<int>(Outcome::CouldNotRun);
}
