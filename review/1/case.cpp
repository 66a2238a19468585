#include "review/standins/deployment.h"
#include "review/standins/worker.h"

#include <fmt/format.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace hawthornslip;         // NOLINT(google-build-using-namespace)
using namespace hawthornslip::review; // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

constexpr Duration kRevokeWithin = seconds(5);
constexpr Duration kWork = milliseconds(60);
constexpr Duration kCallInterval = milliseconds(120);
constexpr Duration kFirstRevocation = seconds(2);
constexpr Duration kSecondRevocation = seconds(9);
constexpr Duration kLength = seconds(20);
constexpr std::size_t kGateways = 3;
constexpr std::size_t kWorkers = 3;
constexpr const char *kFirstKey = "n2ctnfzs989anu6wsjnb";
constexpr const char *kSecondKey = "anfqasnmgkcuyj8pjbvk";
constexpr const char *kNeverKey = "zzzzzzzzzzzzzzzzzzzz";

/** A request that was sent. */
struct Sent
{
    std::string key;
    TimePoint at{};
};

/** Takes the keys of all tenants away, one tenant after the other. */
class RevokeAll
{
public:
    explicit RevokeAll(const std::string &recordPath)
        : m_deployment(recordPath)
    {}

    Outcome run()
    {
        for (std::size_t i = 0; i < kWorkers; ++i)
            startWorker(fmt::format("i-7f3a91c{}", i));
        m_deployment.store().put(
                "config", "main",
                makeConfig(7, {tenant("hule930", kFirstKey), tenant("dele69a", kSecondKey)}));
        const std::uint16_t port = m_deployment.storePort();
        if (!m_deployment.startGateways(std::vector(kGateways, port)))
            return Outcome::CouldNotRun;
        m_deployment.every(kCallInterval, [this] { callAll(); });
        auto &loop = m_deployment.loop();
        loop.after(kFirstRevocation, [this] {
            if (Deployment::hasTrouble())
                revoke(kFirstKey, makeConfig(11, Json::array({tenant("dele69a", kSecondKey)})));
        });
        loop.after(kSecondRevocation, [this] {
            if (Deployment::hasTrouble())
                revoke(kSecondKey, makeConfig(16, Json::array()));
        });
        m_deployment.run(kLength);
        for (const auto &[text, n] : m_answers)
            m_deployment.record().line(fmt::format("answers: {} x {}", n, text));
        return m_deployment.outcome();
    }

private:
    static Json tenant(const std::string &name, const std::string &key)
    {
        return {{"name", name}, {"api_keys", {key}}, {"priority", 0}};
    }

    void startWorker(const std::string &id)
    {
        m_workers.push_back(std::make_unique<Worker>(m_deployment.loop(), id, kWork,
                                                     [this](const Arrival &it) { onRun(it); }));
        m_workers.back()->start();
        m_deployment.store().put("servers", id, m_workers.back()->entry(kService, "ready"));
    }

    void revoke(const std::string &key, const Json &config)
    {
        m_deployment.store().put("config", "main", config);
        m_revokedAt[key] = m_deployment.loop().now();
        m_deployment.record().line(fmt::format("the store has acknowledged version {}; it takes "
                                               "key {} away and has the tenants {}",
                                               config.at("version").dump(), key,
                                               config.at("tenants").dump()));
    }

    void callAll()
    {
        for (const auto &gateway : m_deployment.gateways()) {
            for (const char *key : {kFirstKey, kSecondKey, kNeverKey})
                call(*gateway, key);
        }
    }

    void call(const GatewayRunner &gateway, const std::string &key)
    {
        CallerRequest request;
        request.port = gateway.callers();
        request.path = kOrderPath;
        request.key = key;
        request.attempt = m_deployment.callers().nextAttempt();
        const TimePoint now = m_deployment.loop().now();
        m_sent[request.attempt] = {key, now};
        m_deployment.callers().send(request, [this, key, now](const CallerAnswer &answer) {
            const auto revoked = m_revokedAt.find(key);
            const bool isLate =
                    revoked != m_revokedAt.end() && now - revoked->second > kRevokeWithin;
            ++m_answers[fmt::format("{} for key {}{}", answer.status, key,
                                    isLate ? " later than revoke_ms after it was taken away" : "")];
        });
    }

    void onRun(const Arrival &arrival)
    {
        m_deployment.record().line(fmt::format("run {} at {} for tenant \"{}\"", arrival.attempt,
                                               arrival.worker, arrival.tenant));
        const Sent &sent = m_sent.at(arrival.attempt);
        const auto revoked = m_revokedAt.find(sent.key);
        if (sent.key == kNeverKey) {
            m_deployment.record().broken(
                    fmt::format("ROUTE: order {} runs at {} with tenant \"{}\"; no config ever had "
                                "its key {}",
                                arrival.attempt, arrival.worker, arrival.tenant, sent.key));
        } else if (revoked != m_revokedAt.end() && sent.at - revoked->second > kRevokeWithin) {
            m_deployment.record().broken(
                    fmt::format("CONFIG: order {} runs at {} with tenant \"{}\"; it was sent {} ms "
                                "after key {} was taken away",
                                arrival.attempt, arrival.worker, arrival.tenant,
                                toMillis(sent.at - revoked->second), sent.key));
        }
    }

    Deployment m_deployment;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::map<std::string, TimePoint> m_revokedAt;
    std::map<std::string, Sent> m_sent;
    std::map<std::string, int> m_answers;
};

} // namespace

int main(int argc, char **argv)
{
    return argc == 2 ? static_cast<int>(RevokeAll(argv[1]).run())
                     : static_cast<int>(Outcome::CouldNotRun);
}
