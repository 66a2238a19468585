#include "tests/soak/soak_run.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <string>
#include <utility>

/** The part of a run that changes the configuration. */
namespace hawthornslip::soak {

namespace {

using Json = nlohmann::json;

constexpr Duration kShortestIdleLimit = milliseconds(300);
constexpr Duration kLongestIdleLimit = milliseconds(2500);
// Moves of a series may come faster than gateways hear of them.
constexpr Duration kLongestGap = milliseconds(700);

} // namespace

void SoakRun::putConfig()
{
    Json routes = Json::array();
    const std::array<const char *, 4> kinds = {"non_idempotent", "idempotent", "streaming",
                                               "streaming"};
    for (std::size_t i = 0; i < kPaths.size(); ++i) {
        const bool isOrder = i == 0;
        routes.push_back({{"name", kPaths[i]},
                          {"host", "soak.example"},
                          {"path_prefix", kPaths[i]},
                          {"route_kind", kinds[i]},
                          {"timeout_ms", 4000},
                          {"goal_ms", 1000},
                          {"gap_goal_ms", i >= 2 ? 500 : 0},
                          {"max_attempts", 2},
                          {"resumable", i == 3},
                          {"service", isOrder ? m_orderService : "app"}});
    }
    Json tenants = Json::array();
    if (!m_keys.empty())
        tenants.push_back({{"name", "t"}, {"api_keys", m_keys}, {"priority", 0}});
    m_version += 1 + m_random() % 5;
    m_store.put("config", "main",
                {{"version", m_version},
                 {"routes", routes},
                 {"services", {{{"name", "app"}}, {{"name", "other"}}}},
                 {"limits",
                  {{"max_header_bytes", 16 << 10},
                   {"max_body_bytes", 4 << 20},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", toMillis(m_idleLimit)}}},
                 {"tenants", tenants}});
}

void SoakRun::revokeKey()
{
    if (m_keys.size() < 2)
        return;
    const std::string key = m_keys.back();
    m_keys.pop_back();
    note(fmt::format("{} is revoked", key));
    putConfig();
    m_judge.onKeyRevoked(key, m_loop.now());
}

void SoakRun::revokeAllKeys()
{
    note("all keys are revoked");
    const auto revoked = std::exchange(m_keys, {});
    putConfig();
    for (const auto &it : revoked)
        m_judge.onKeyRevoked(it, m_loop.now());
}

void SoakRun::moveOrders()
{
    if (m_orderService != "app")
        return;
    note("orders move to another service");
    m_orderService = "other";
    putConfig();
    m_judge.onServiceMoved(m_orderService, m_loop.now());
}

void SoakRun::moveIdleLimit()
{
    // Most moves stand alone; the others meet a change of another sort.
    static constexpr std::array<Fault, 8> kBeside = {
            &SoakRun::stopGateway,   &SoakRun::reloadSettings, &SoakRun::changeSettings,
            &SoakRun::revokeKey,     &SoakRun::moveOrders,     &SoakRun::putConfig,
            &SoakRun::stopAndReload, &SoakRun::cutWatches};
    const std::size_t moves = 2 + pick(5);
    Duration at{0};
    for (std::size_t i = 0; i < moves; ++i) {
        const Duration limit = between(kShortestIdleLimit, kLongestIdleLimit);
        const std::size_t beside = pick(2 * kBeside.size());
        const Duration gap = between(Duration(0), milliseconds(50));
        m_loop.after(at, [this, limit, beside, gap] {
            note(fmt::format("the idle limit moves to {} ms", toMillis(limit)));
            m_idleLimit = limit;
            putConfig();
            if (beside < kBeside.size())
                m_loop.after(gap, [this, beside] { (this->*kBeside[beside])(); });
        });
        at += between(Duration(0), kLongestGap);
    }
}

void SoakRun::reloadSettings()
{
    const std::size_t i = pick(m_gateways.size());
    note(fmt::format("SIGHUP to gateway {}", i));
    m_gateways[i]->signal(SIGHUP);
}

void SoakRun::changeSettings()
{
    const std::size_t i = pick(m_gateways.size());
    const bool isSignalled = pick(2) == 0;
    note(fmt::format("the settings of gateway {} change{}", i, isSignalled ? ", SIGHUP" : ""));
    m_gateways[i]->changeLogLevel();
    if (isSignalled)
        m_gateways[i]->signal(SIGHUP);
}

void SoakRun::stopAndReload()
{
    const std::size_t i = pick(m_gateways.size());
    note(fmt::format("SIGTERM and SIGHUP to gateway {}", i));
    m_judge.onFault(i, m_loop.now() + seconds(9), true);
    m_gateways[i]->signal(SIGTERM);
    m_gateways[i]->signal(SIGHUP);
}

void SoakRun::cutWatches()
{
    note("waiting watches are cut off");
    m_store.cutWatches();
}

} // namespace hawthornslip::soak
