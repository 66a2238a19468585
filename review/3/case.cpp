#include "review/standins/deployment.h"
#include "review/standins/worker.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace hawthornslip;         // NOLINT(google-build-using-namespace)
using namespace hawthornslip::review; // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

constexpr Duration kDrainWithin = milliseconds(2000);
// A worker that leaves serves for drain_ms and a little longer.
constexpr Duration kServesOn = milliseconds(2300);
constexpr Duration kWork = milliseconds(60);
constexpr Duration kCallInterval = milliseconds(50);
constexpr std::size_t kGateways = 3;
constexpr std::size_t kWorkers = 3;
// A worker is replaced in each period: the new one registers, then the old one leaves. In each
// period the store cuts off its waiting watches, each time a little later.
constexpr Duration kPeriod = seconds(4);
constexpr Duration kLeavesAt = milliseconds(500);
constexpr Duration kFirstCutAt = milliseconds(100);
constexpr Duration kLaterEachTime = milliseconds(100);
constexpr int kReplacements = 14;
constexpr const char *kKey = "n2ctnfzs989anu6wsjnb";

/** Replaces workers one after the other while the store cuts off watches. */
class Release
{
public:
    explicit Release(const std::string &recordPath)
        : m_deployment(recordPath)
    {}

    Outcome run()
    {
        const Json tenants = {{{"name", "hule930"}, {"api_keys", {kKey}}, {"priority", 0}}};
        for (std::size_t i = 0; i < kWorkers; ++i)
            startWorker();
        m_deployment.store().put("config", "main", makeConfig(7, tenants));
        const std::uint16_t port = m_deployment.storePort();
        if (!m_deployment.startGateways(std::vector(kGateways, port)))
            return Outcome::CouldNotRun;
        m_deployment.every(kCallInterval, [this] { callAll(); });
        m_deployment.run(kPeriod);
        for (int i = 0; i < kReplacements; ++i) {
            startWorker();
            m_deployment.loop().after(kLeavesAt, [this] { removeOldest(); });
            m_deployment.loop().after(kFirstCutAt + i * kLaterEachTime, [this] {
                if (Deployment::hasTrouble())
                    cutWatches();
            });
            m_deployment.run(kPeriod);
        }
        for (const auto &[text, n] : m_answers)
            m_deployment.record().line(fmt::format("answers: {} x {}", n, text));
        return m_deployment.outcome();
    }

private:
    void startWorker()
    {
        const std::string id = fmt::format("i-7f3a{:04x}", ++m_started);
        m_workers.push_back(std::make_shared<Worker>(m_deployment.loop(), id, kWork,
                                                     [this](const Arrival &it) { onRun(it); }));
        m_workers.back()->start();
        m_deployment.store().put("servers", id, m_workers.back()->entry(kService, "ready"));
    }

    void cutWatches()
    {
        const std::size_t n = m_deployment.store().cutWatches();
        m_deployment.record().line(fmt::format("the store cuts off {} watches", n));
    }

    /** The oldest worker leaves without having reported that it drains. */
    void removeOldest()
    {
        const std::shared_ptr<Worker> worker = m_workers.front();
        m_workers.pop_front();
        m_left.push_back(worker);
        const std::string id = worker->id();
        m_deployment.store().remove("servers", id);
        const TimePoint now = m_deployment.loop().now();
        m_removedAt[id] = now;
        m_deployment.record().line("the store has acknowledged that the entry of " + id +
                                   " is removed");
        m_deployment.loop().after(kServesOn, [this, id, worker] {
            m_deployment.record().line(
                    fmt::format("{} exits with {} requests at work; {} had arrived too late", id,
                                worker->running(), m_late[id]));
            worker->exit();
        });
    }

    void callAll()
    {
        for (const auto &gateway : m_deployment.gateways()) {
            CallerRequest request;
            request.port = gateway->callers();
            request.path = kOrderPath;
            request.key = kKey;
            request.attempt = m_deployment.callers().nextAttempt();
            m_deployment.callers().send(request, [this](const CallerAnswer &answer) {
                ++m_answers[fmt::format("{}", answer.status)];
            });
        }
    }

    void onRun(const Arrival &arrival)
    {
        m_deployment.record().line(fmt::format("run {} at {} for tenant \"{}\"", arrival.attempt,
                                               arrival.worker, arrival.tenant));
        const auto removed = m_removedAt.find(arrival.worker);
        if (removed == m_removedAt.end() || arrival.at - removed->second <= kDrainWithin)
            return;
        ++m_late[arrival.worker];
        m_deployment.record().broken(fmt::format(
                "DRAIN: order {} reaches {} {} ms after the store acknowledged that it is gone",
                arrival.attempt, arrival.worker, toMillis(arrival.at - removed->second)));
    }

    Deployment m_deployment;
    int m_started = 0;
    std::deque<std::shared_ptr<Worker>> m_workers;
    std::vector<std::shared_ptr<Worker>> m_left;
    std::map<std::string, TimePoint> m_removedAt;
    std::map<std::string, int> m_late;
    std::map<std::string, int> m_answers;
};

} // namespace

int main(int argc, char **argv)
{
    return argc == 2 ? static_cast<int>(Release(argv[1]).run())
                     : static_cast<int>(Outcome::CouldNotRun);
}
