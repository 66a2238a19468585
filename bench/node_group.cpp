#include "bench/node_group.h"

#include "tests/standins/plain_http.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace hawthornslip::bench {

namespace {

constexpr int kHttpOk = 200;
constexpr const char *kOperatorKey = "bench-operator";
constexpr Duration kPoll = milliseconds(20);
constexpr Duration kProbeTimeout = milliseconds(500);
constexpr std::size_t kCurveKeyBytes = 41;

/** Sockets that hold free ports of the kernel until all are chosen. */
class PortHolder
{
public:
    PortHolder() = default;
    PortHolder(const PortHolder &) = delete;
    PortHolder &operator=(const PortHolder &) = delete;
    ~PortHolder()
    {
        for (const int it : m_sockets)
            close(it);
    }

    std::uint16_t take()
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        m_sockets.push_back(fd);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        if (bind(fd, generic, length) != 0 || getsockname(fd, generic, &length) != 0)
            throw std::runtime_error("no free port");
        return ntohs(address.sin_port);
    }

private:
    std::vector<int> m_sockets;
};

std::string hashOf(const std::string &key)
{
    std::array<unsigned char, crypto_generichash_BYTES> hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
    std::string hex;
    for (const auto it : hash)
        hex += fmt::format("{:02x}", it);
    return hex;
}

std::string quotedList(const std::vector<std::string> &texts)
{
    std::string list;
    for (const auto &it : texts)
        list += (list.empty() ? "\"" : ", \"") + it + "\"";
    return "[" + list + "]";
}

} // namespace

std::vector<NodePlace> takePlaces(std::size_t count, const std::vector<std::string> &domains)
{
    PortHolder ports;
    std::vector<NodePlace> places;
    for (std::size_t i = 0; i < count; ++i)
        places.push_back({domains[i % domains.size()], ports.take(), ports.take(), ports.take()});
    return places;
}

NodeGroup::NodeGroup(NodeGroupSpec spec)
    : m_spec(std::move(spec))
{
    for (std::size_t i = 0; i < m_spec.places.size(); ++i) {
        std::array<char, kCurveKeyBytes> publicKey{};
        std::array<char, kCurveKeyBytes> secretKey{};
        if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0)
            throw std::runtime_error("the ZeroMQ library has no CURVE");
        m_curveKeys.emplace_back(publicKey.data(), secretKey.data());
    }
    m_nodes.resize(m_spec.places.size());
    for (std::size_t i = 0; i < m_spec.places.size(); ++i) {
        writeSettings(i);
        start(i);
    }
}

std::string NodeGroup::settingsFile(std::size_t index) const
{
    return fmt::format("{}/node{}.toml", m_spec.folder, index + 1);
}

void NodeGroup::writeSettings(std::size_t index)
{
    std::vector<std::string> allowed;
    for (const auto &[publicKey, secretKey] : m_curveKeys)
        allowed.push_back(publicKey);
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(m_spec.places.size(), 3); ++i) {
        if (i != index)
            seeds.push_back(fmt::format("127.0.0.1:{}", m_spec.places[i].peerPort));
    }
    const auto &place = m_spec.places[index];
    std::ofstream file(settingsFile(index));
    file << "[node]\ndomain = \"" << place.domain << "\"\nlog_level = \"info\"\n"
         << "initial_config_file = \"" << m_spec.configFile << "\"\n";
    if (!m_spec.policy.empty())
        file << "scheduling_policy = \"" << m_spec.policy << "\"\n";
    file << fmt::format("[caller]\nlisten = \"127.0.0.1:{}\"\nmax_connections = 2000\n",
                        place.callerPort);
    file << fmt::format("[operator]\nlisten = \"127.0.0.1:{}\"\nkey_hashes = [\"{}\"]\n",
                        place.operatorPort, hashOf(kOperatorKey));
    file << fmt::format("[peer]\nlisten = \"127.0.0.1:{}\"\ncurve_public_key = \"{}\"\n"
                        "curve_secret_key = \"{}\"\nallowed_keys = {}\nseeds = {}\n",
                        place.peerPort, m_curveKeys[index].first, m_curveKeys[index].second,
                        quotedList(allowed), quotedList(seeds));
    file << fmt::format("[platform]\nobject_store_url = \"{0}\"\nvm_list_url = \"{0}\"\n",
                        m_spec.platformUrl);
    // Shorter than the default, as no real balancer has to notice.
    file << "[stop]\nbalancer_notice_ms = 1000\n";
}

void NodeGroup::start(std::size_t index)
{
    const auto log = fmt::format("{}/node{}.log", m_spec.folder, index + 1);
    m_nodes[index] = std::make_unique<NodeProcess>(m_spec.binary, settingsFile(index), log);
}

void NodeGroup::restart(std::size_t index)
{
    m_nodes[index]->wait(seconds(1));
    m_endedCpuSeconds += m_nodes[index]->cpuSeconds();
    start(index);
}

bool NodeGroup::ready(std::size_t index) const
{
    const auto answer = standin::plainHttp(m_spec.places[index].callerPort,
                                           {"GET", "/readyz", {}, ""}, kProbeTimeout);
    return answer && answer->status == kHttpOk;
}

bool NodeGroup::waitReady(Duration timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        while (!ready(i)) {
            if (!m_nodes[i]->running() || std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(kPoll);
        }
    }
    return true;
}

std::uint64_t NodeGroup::generation(std::size_t index) const
{
    const std::map<std::string, std::string> headers = {
            {"Authorization", std::string("Bearer ") + kOperatorKey}};
    const auto answer = standin::plainHttp(m_spec.places[index].operatorPort,
                                           {"GET", "/admin/status", headers, ""}, kProbeTimeout);
    if (!answer || answer->status != kHttpOk)
        return 0;
    const auto json = nlohmann::json::parse(answer->body, nullptr, false);
    return json.is_object() ? json.value("generation", std::uint64_t{0}) : 0;
}

bool NodeGroup::waitConfigured(Duration timeout) const
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        while (generation(i) == 0) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(kPoll);
        }
    }
    return true;
}

bool NodeGroup::stopAll(Duration timeout)
{
    for (const auto &it : m_nodes)
        it->signal(SIGTERM);
    bool clean = true;
    for (const auto &it : m_nodes) {
        const bool ended = it->wait(timeout);
        clean = clean && (it->killed() || (ended && it->exitStatus() == 0));
    }
    return clean;
}

double NodeGroup::cpuSeconds() const
{
    double total = m_endedCpuSeconds;
    for (const auto &it : m_nodes)
        total += it->cpuSeconds();
    return total;
}

std::uint64_t NodeGroup::peakBytes() const
{
    std::uint64_t peak = 0;
    for (const auto &it : m_nodes)
        peak = std::max(peak, it->peakBytes());
    return peak;
}

} // namespace hawthornslip::bench
