#include "review/standins/deployment.h"
#include "review/standins/worker.h"

#include <fmt/format.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace hawthornslip;         // NOLINT(google-build-using-namespace)
using namespace hawthornslip::review; // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

constexpr Duration kWork = milliseconds(60);
constexpr Duration kCallInterval = milliseconds(100);
constexpr std::size_t kGateways = 3;
constexpr std::size_t kWorkers = 3;
// One worker fails four of ten requests for 6.5 s.
constexpr Duration kGreyAt = seconds(2);
constexpr Duration kGreyFor = milliseconds(6500);
constexpr int kFailsOfTen = 4;
constexpr Duration kLength = seconds(12);
// The requester comes back within a third of the time that it has left.
constexpr Duration kRetryAfter = milliseconds(300);
constexpr const char *kKey = "n2ctnfzs989anu6wsjnb";

/** Orders are sent while one worker fails part of them after it has run them. */
class GreyWorker
{
public:
    explicit GreyWorker(const std::string &recordPath)
        : m_deployment(recordPath)
    {}

    Outcome run()
    {
        const Json tenants = {{{"name", "hule930"}, {"api_keys", {kKey}}, {"priority", 0}}};
        for (std::size_t i = 0; i < kWorkers; ++i)
            startWorker(fmt::format("i-7f3a91c{}", i));
        m_deployment.store().put("config", "main", makeConfig(7, tenants));
        const std::uint16_t port = m_deployment.storePort();
        if (!m_deployment.startGateways(std::vector(kGateways, port)))
            return Outcome::CouldNotRun;
        m_deployment.every(kCallInterval, [this] { callAll(); });
        auto &loop = m_deployment.loop();
        if (Deployment::hasTrouble()) {
            loop.after(kGreyAt, [this] { setFailing(kFailsOfTen); });
            loop.after(kGreyAt + kGreyFor, [this] { setFailing(0); });
        }
        m_deployment.run(kLength);
        for (const auto &[text, n] : m_answers)
            m_deployment.record().line(fmt::format("answers: {} x {}", n, text));
        int doubled = 0;
        for (const auto &[order, runs] : m_runsOfOrder)
            doubled += runs > 1 ? 1 : 0;
        m_deployment.record().line(fmt::format("{} of {} orders ran more than once, as their "
                                               "requesters sent them again after a 503",
                                               doubled, m_runsOfOrder.size()));
        return m_deployment.outcome();
    }

private:
    void startWorker(const std::string &id)
    {
        m_workers.push_back(std::make_unique<Worker>(m_deployment.loop(), id, kWork,
                                                     [this](const Arrival &it) { onRun(it); }));
        m_workers.back()->start();
        m_deployment.store().put("servers", id, m_workers.back()->entry(kService, "ready"));
    }

    void setFailing(int ofTen)
    {
        m_workers.front()->failOfTen(ofTen);
        m_deployment.record().line(
                fmt::format("{} fails {} of ten requests", m_workers.front()->id(), ofTen));
    }

    void callAll()
    {
        for (std::size_t i = 0; i < m_deployment.gateways().size(); ++i)
            sendOrder(i, fmt::format("order {}", ++m_orders), true);
    }

    void sendOrder(std::size_t gateway, const std::string &order, bool maySendAgain)
    {
        CallerRequest request;
        request.port = m_deployment.gateways()[gateway]->callers();
        request.path = kOrderPath;
        request.key = kKey;
        request.body = order;
        request.attempt = m_deployment.callers().nextAttempt();
        m_deployment.callers().send(request, [this, attempt = request.attempt, gateway, order,
                                              maySendAgain](const CallerAnswer &answer) {
            ++m_answers[fmt::format("{}", answer.status)];
            const bool isPromise = answer.status == 503 || answer.status == 429;
            if (isPromise && m_ran.contains(attempt))
                m_deployment.record().broken(
                        fmt::format("REFUSED: {} ({}) is answered {} and has run", attempt, order,
                                    answer.status));
            if (isPromise && maySendAgain)
                m_deployment.loop().after(kRetryAfter, [this, gateway, order] {
                    sendOrder((gateway + 1) % kGateways, order, false);
                });
        });
    }

    void onRun(const Arrival &arrival)
    {
        m_deployment.record().line(
                fmt::format("run {} at {}: {}", arrival.attempt, arrival.worker, arrival.body));
        m_ran.insert(arrival.attempt);
        ++m_runsOfOrder[arrival.body];
    }

    Deployment m_deployment;
    std::vector<std::unique_ptr<Worker>> m_workers;
    int m_orders = 0;
    std::set<std::string> m_ran;
    std::map<std::string, int> m_runsOfOrder;
    std::map<std::string, int> m_answers;
};

} // namespace

int main(int argc, char **argv)
{
    return argc == 2 ? static_cast<int>(GreyWorker(argv[1]).run())
                     : static_cast<int>(Outcome::CouldNotRun);
}
