#include "tests/crowds/crowd_run.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace hawthornslip::crowds {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kLargestBody = 4 << 20;
constexpr std::size_t kEndlessBytes = 4 << 20;
// Ends a run whose process hangs; nothing is judged by these times.
constexpr Duration kPatience = seconds(20);
constexpr Duration kLook = milliseconds(100);
// Looks without a byte sent after which the crowd has done what it can.
constexpr int kQuietLooks = 8;
constexpr int kOk = 200;

soak::GatewayPorts makePorts(std::uint16_t store)
{
    return {soak::reservePort(), soak::reservePort(), soak::reservePort(), soak::reservePort(),
            store};
}

std::string limits()
{
    return fmt::format("[limits]\nmemory_mb = {}\nmax_descriptors = {}\n", CrowdRun::kMemoryMb,
                       CrowdRun::kDescriptors);
}

/** @return the most memory that the process has ever had resident, in KiB. */
long peakMemoryKb(pid_t pid)
{
    std::ifstream file(fmt::format("/proc/{}/status", pid));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmHWM:"))
            return std::strtol(line.c_str() + std::string_view("VmHWM:").size(), nullptr, 10);
    }
    return -1;
}

long openDescriptors(pid_t pid)
{
    std::error_code ec;
    long n = 0;
    for (auto it = std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid), ec);
         it != std::filesystem::directory_iterator(); it.increment(ec))
        ++n;
    return ec ? -1 : n;
}

} // namespace

bool CrowdResult::isGood() const
{
    return isReady && lives && peakKb >= 0 && peakKb <= CrowdRun::kMemoryMb << 10 &&
           descriptors >= 0 && descriptors <= CrowdRun::kDescriptors && ordinaryStatus == kOk &&
           largestStatus == kOk;
}

CrowdRun::CrowdRun(const std::string &binary, const std::string &folder)
    : m_store(m_loop)
    , m_worker(m_loop)
    , m_storePort(m_store.start())
    , m_workerPort(m_worker.start())
    , m_gateway(binary, folder, 0, makePorts(m_storePort), limits())
{
    const std::string stream = "Content-Type: text/event-stream\r\n";
    const std::string chunks = "Transfer-Encoding: chunked\r\n";
    const std::string piece(1024, 'a');
    m_worker.answerWith("medium", {"Content-Length: 245760\r\n\r\n", piece, 240 << 10});
    m_worker.answerWith("long", {"Content-Length: 4194304\r\n\r\n", piece, 4 << 20});
    m_worker.answerWith("endless-head", {"", "a: aaaaaaaaaaa\r\n", kEndlessBytes});
    m_worker.answerWith("endless-trailer",
                        {chunks + "\r\n1\r\na\r\n0\r\n", "a: aaaaaaaaaaa\r\n", kEndlessBytes});
    m_worker.answerWith("endless-extension", {chunks + "\r\n1;a=", piece, kEndlessBytes});
    m_worker.answerWith("endless-event", {stream + "\r\ndata: ", piece, (1 << 20) - 2048});
}

void CrowdRun::putObjects()
{
    Json routes = Json::array();
    for (const char *path : {"/plain/", "/medium/", "/long/", "/endless-head/", "/endless-trailer/",
                             "/endless-extension/", "/endless-event/"}) {
        const bool isPlain = std::string_view(path) == "/plain/";
        const bool isStream = std::string_view(path) == "/endless-event/";
        routes.push_back({{"name", path},
                          {"host", "crowd.example"},
                          {"path_prefix", path},
                          {"route_kind", isStream ? "streaming" : "idempotent"},
                          {"timeout_ms", 8000},
                          {"goal_ms", 4000},
                          {"gap_goal_ms", isStream ? 500 : 0},
                          {"max_attempts", 1},
                          {"resumable", false},
                          {"service", isPlain ? "plain" : "crowd"}});
    }
    m_store.put("config", "main",
                {{"version", 1},
                 {"routes", routes},
                 {"services", {{{"name", "plain"}}, {{"name", "crowd"}}}},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", kLargestBody},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15000}}},
                 {"tenants", {{{"name", "t"}, {"api_keys", {"key"}}, {"priority", 0}}}}});
    for (const char *service : {"plain", "crowd"})
        m_store.put("servers", service,
                    {{"service", service},
                     {"address", fmt::format("127.0.0.1:{}", m_workerPort)},
                     {"zone", "here"},
                     {"slots", 400},
                     {"state", "ready"}});
}

CrowdResult CrowdRun::run(const Crowd &crowd)
{
    putObjects();
    m_gateway.start();
    CrowdResult result;
    result.isReady = waitUntilReady();
    // In calm the largest request inside the limits is served.
    result.largestStatus = call("plain", kLargestBody);
    std::vector<std::shared_ptr<PatternSender>> members;
    const boost::asio::ip::tcp::endpoint callers(boost::asio::ip::address_v4::loopback(),
                                                 m_gateway.ports().callers);
    for (const auto &group : crowd.groups) {
        for (std::size_t i = 0; i < group.connections; ++i) {
            members.push_back(std::make_shared<PatternSender>(
                    boost::asio::ip::tcp::socket(m_loop.context()), group.pattern));
            members.back()->connect(callers);
        }
    }
    waitUntilQuiet(members);
    look(result);
    result.ordinaryStatus = call("plain", 1024);
    look(result);
    result.lives = m_gateway.isRunning();
    for (const auto &it : members)
        it->close();
    pass(kLook);
    return result;
}

bool CrowdRun::waitUntilReady()
{
    for (Duration waited{0}; waited < kPatience; waited += kLook) {
        pass(kLook);
        if (call("plain", 16) == kOk)
            return true;
    }
    return false;
}

void CrowdRun::waitUntilQuiet(const std::vector<std::shared_ptr<PatternSender>> &members)
{
    int quiet = 0;
    std::uint64_t sent = 0;
    for (Duration waited{0}; waited < kPatience && quiet < kQuietLooks; waited += kLook) {
        pass(kLook);
        const std::uint64_t now = sentBytes(members) + m_worker.sentBytes();
        quiet = now == sent ? quiet + 1 : 0;
        sent = now;
    }
}

std::uint64_t CrowdRun::sentBytes(const std::vector<std::shared_ptr<PatternSender>> &members) const
{
    std::uint64_t sum = 0;
    for (const auto &it : members)
        sum += it->sentBytes();
    return sum;
}

int CrowdRun::call(const std::string &path, std::size_t bodyBytes)
{
    Pattern pattern;
    pattern.prefix = fmt::format(
            "POST /{}/x HTTP/1.1\r\nHost: crowd.example\r\nAuthorization: Bearer key\r\n"
            "X-Hawthornslip-Attempt-Id: ordinary{}\r\nX-Hawthornslip-Deadline-Ms: 8000\r\n"
            "Content-Length: {}\r\n\r\n{}",
            path, m_worker.requests(), bodyBytes, std::string(bodyBytes, 'o'));
    const auto caller = std::make_shared<PatternSender>(
            boost::asio::ip::tcp::socket(m_loop.context()), pattern);
    caller->connect({boost::asio::ip::address_v4::loopback(), m_gateway.ports().callers});
    constexpr std::string_view kStatusLine = "HTTP/1.1 ";
    constexpr std::size_t kStatusDigits = 3;
    for (Duration waited{0}; waited < kPatience; waited += kLook) {
        pass(kLook);
        if (caller->received().size() >= kStatusLine.size() + kStatusDigits ||
            (caller->isDone() && !caller->isSent()))
            break;
    }
    const std::string text = caller->received();
    caller->close();
    return text.starts_with(kStatusLine) ? std::atoi(text.c_str() + kStatusLine.size()) : 0;
}

void CrowdRun::look(CrowdResult &result)
{
    if (!m_gateway.isRunning())
        return;
    result.peakKb = peakMemoryKb(m_gateway.pid());
    result.descriptors = std::max(result.descriptors, openDescriptors(m_gateway.pid()));
}

void CrowdRun::pass(Duration span)
{
    m_loop.context().restart();
    m_loop.context().run_for(std::chrono::microseconds(span.count()));
}

} // namespace hawthornslip::crowds
