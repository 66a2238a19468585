#include "tests/soak/soak_run.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <string>
#include <utility>

/** The part of a run that changes the configuration. */
namespace hawthornslip::soak {

namespace {

using Json = nlohmann::json;

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

} // namespace hawthornslip::soak
