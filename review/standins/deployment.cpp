#include "review/standins/deployment.h"

#include "core/logger.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <string_view>
#include <utility>

namespace hawthornslip::review {

namespace {

using Json = nlohmann::json;

// Traffic starts 10 s after the machines at most.
constexpr Duration kStartUp = seconds(10);
constexpr Duration kProbeInterval = milliseconds(250);

Json makeRoute(const std::string &name, const std::string &prefix, const std::string &kind,
               bool isPublic)
{
    return {{"name", name},
            {"host", "ficu95.example"},
            {"path_prefix", prefix},
            {"route_kind", kind},
            {"timeout_ms", 1500},
            {"goal_ms", 300},
            {"priority", 2},
            {"service", kService},
            {"max_attempts", kind == "idempotent" ? 2 : 1},
            {"public", isPublic}};
}

std::string makeFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return mkdtemp(name.data()) == nullptr ? std::string() : name;
}

} // namespace

Json makeConfig(std::uint64_t version, const Json &tenants)
{
    return {{"version", version},
            {"routes",
             {makeRoute("r-order", "/puxa403/", "non_idempotent", false),
              makeRoute("r-read", "/cufi504/", "idempotent", false),
              makeRoute("r-public", "/duvo118/", "idempotent", true)}},
            {"services",
             {{{"name", kService},
               {"health_path", "/healthz"},
               {"max_conns", 110},
               {"protocol", "h1"},
               {"tls", false}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", tenants}};
}

Deployment::Deployment(const std::string &recordPath)
    : m_record(m_loop, recordPath)
    , m_store(m_loop)
    , m_storePort(m_store.start())
    , m_callers(m_loop, m_record)
    , m_folder(makeFolder())
{
    setLogLevel(LogLevel::Error);
}

Deployment::~Deployment()
{
    m_gateways.clear();
    std::error_code ignored;
    if (!m_folder.empty())
        std::filesystem::remove_all(m_folder, ignored);
}

bool Deployment::startGateways(const std::vector<std::uint16_t> &storePorts)
{
    if (m_folder.empty() || m_storePort == 0)
        return false;
    for (const std::uint16_t port : storePorts) {
        m_gateways.push_back(std::make_unique<GatewayRunner>(m_folder, m_gateways.size(), port));
        if (!m_gateways.back()->start())
            return false;
    }
    m_isReady.assign(m_gateways.size(), false);
    const TimePoint until = m_loop.now() + kStartUp;
    while (m_loop.now() < until && std::count(m_isReady.begin(), m_isReady.end(), false) > 0) {
        probeAll();
        run(kProbeInterval);
    }
    const bool isReady = std::count(m_isReady.begin(), m_isReady.end(), false) == 0;
    m_record.line(isReady ? "all gateways are ready" : "the gateways did not become ready");
    return isReady;
}

void Deployment::probeAll()
{
    for (std::size_t i = 0; i < m_gateways.size(); ++i)
        m_callers.probe(m_gateways[i]->readiness(),
                        [this, i](bool ready) { m_isReady[i] = ready; });
}

void Deployment::every(Duration interval, std::function<void()> task)
{
    m_loop.after(interval, [this, interval, task = std::move(task)] {
        task();
        every(interval, task);
    });
}

void Deployment::run(Duration length)
{
    m_loop.context().restart();
    m_loop.context().run_for(length);
}

Outcome Deployment::outcome()
{
    for (auto &it : m_gateways) {
        if (!it->isRunning())
            m_record.broken(it->name() + " has ended by itself");
    }
    m_record.line(fmt::format("{} times broken", m_record.breaks()));
    return m_record.breaks() > 0 ? Outcome::Broken : Outcome::Held;
}

bool Deployment::hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

} // namespace hawthornslip::review
