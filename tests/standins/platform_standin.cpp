#include "tests/standins/platform_standin.h"

#include "core/enum_names.h"
#include "tests/standins/steady_now.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace hawthornslip::standin {

namespace {

constexpr std::size_t kMaxValueBytes = 1 << 20;
constexpr std::string_view kObjects = "/objects/";
/** Longest time that a hanging store holds a call. */
constexpr Duration kHang = seconds(30);

constexpr EnumNames<PlatformFaults::Down, 4> kDownNames = {{
        {PlatformFaults::Down::No, "no"},
        {PlatformFaults::Down::Refuses, "refuses"},
        {PlatformFaults::Down::Cuts, "cuts"},
        {PlatformFaults::Down::Hangs, "hangs"},
}};

HttpReply objectReply(const StoredObject &object)
{
    HttpReply reply;
    reply.headers["ETag"] = "\"" + std::to_string(object.version) + "\"";
    reply.body = object.value;
    return reply;
}

/** @return the version that a write expects, or nothing when it names none. */
std::optional<std::uint64_t> expectedVersion(const HttpCall &call)
{
    if (call.header("if-none-match") == "*")
        return 0;
    const std::string match = call.header("if-match");
    const std::size_t start = match.rfind('"', 0) == 0 ? 1 : 0;
    char *end = nullptr;
    const auto version = std::strtoull(match.c_str() + start, &end, 10);
    if (match.empty() || end == match.c_str() + start)
        return std::nullopt;
    return version;
}

std::uint64_t queryNumber(const HttpCall &call, const std::string &name)
{
    const auto it = call.query.find(name);
    return it == call.query.end() ? 0 : std::strtoull(it->second.c_str(), nullptr, 10);
}

std::string firstPart(const std::string &key)
{
    return key.substr(0, key.find('/'));
}

} // namespace

PlatformStandin::PlatformStandin()
    : m_host([this](const HttpCall &call) { return handle(call); }, [this] { abortAll(); })
{}

PlatformStandin::~PlatformStandin()
{
    stop();
}

bool PlatformStandin::start(std::uint16_t port)
{
    m_store.close(false);
    {
        const std::lock_guard lock(m_mutex);
        m_aborted = false;
    }
    return m_host.start(port);
}

void PlatformStandin::stop()
{
    m_host.stop();
}

void PlatformStandin::abortAll()
{
    m_store.close(true);
    {
        const std::lock_guard lock(m_mutex);
        m_aborted = true;
    }
    m_changed.notify_all();
}

void PlatformStandin::setFaults(const PlatformFaults &faults)
{
    {
        const std::lock_guard lock(m_mutex);
        m_faults = faults;
    }
    m_changed.notify_all();
    // An outage also ends the watches that wait.
    if (faults.down != PlatformFaults::Down::No) {
        m_store.close(true);
        m_store.close(false);
    }
}

PlatformFaults PlatformStandin::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

void PlatformStandin::setVms(std::vector<VmEntry> vms)
{
    const std::lock_guard lock(m_mutex);
    m_lists.push_back({steadyNow(), std::move(vms)});
}

std::map<std::string, std::uint64_t> PlatformStandin::counters() const
{
    const std::lock_guard lock(m_mutex);
    return m_counters;
}

HttpReply PlatformStandin::handle(const HttpCall &call)
{
    if (call.path.compare(0, kObjects.size(), kObjects) == 0)
        return object(call);
    if (call.path == "/vms") {
        if (faults().listDown)
            return jsonReply(503, "{}");
        waitSlow();
        return vms();
    }
    if (call.path == "/counters")
        return countersReply();
    if (call.path == "/control" && call.method == "POST")
        return control(call);
    return jsonReply(404, R"({"error":"unknown_path"})");
}

HttpReply PlatformStandin::object(const HttpCall &call)
{
    const std::string key = call.path.substr(kObjects.size());
    const bool write = call.method == "PUT";
    const bool watch = !write && call.query.count("after") > 0;
    const std::string kind = write ? "put" : (watch ? "watch" : "get");
    {
        const std::lock_guard lock(m_mutex);
        ++m_counters[kind + " " + firstPart(key)];
    }
    if (auto reply = outage(call))
        return *reply;
    const auto current = faults();
    if (!takeRate(write ? m_writes : m_reads,
                  write ? current.writesPerSecond : current.readsPerSecond))
        return jsonReply(429, R"({"error":"rate"})");
    waitSlow();
    if (write)
        return put(call, key);
    if (call.method == "GET")
        return get(call, key);
    return jsonReply(405, R"({"error":"method"})");
}

HttpReply PlatformStandin::get(const HttpCall &call, const std::string &key)
{
    if (call.query.count("after") == 0) {
        const auto found = m_store.get(key);
        return found ? objectReply(*found) : jsonReply(404, "{}");
    }
    const auto timeout = milliseconds(static_cast<std::int64_t>(queryNumber(call, "timeout_ms")));
    const auto found = m_store.watch(key, queryNumber(call, "after"), timeout);
    if (auto reply = outage(call))
        return *reply;
    if (found)
        return objectReply(*found);
    HttpReply unchanged;
    unchanged.status = 304;
    return unchanged;
}

HttpReply PlatformStandin::put(const HttpCall &call, const std::string &key)
{
    if (call.body.size() > kMaxValueBytes)
        return jsonReply(413, "{}");
    const auto expected = expectedVersion(call);
    if (!expected)
        return jsonReply(428, R"({"error":"precondition_required"})");
    const auto version = m_store.put(key, call.body, *expected);
    if (!version)
        return jsonReply(412, "{}");
    if (takeLostAnswer(key))
        m_host.http().cutConnection(call.clientPort);
    return objectReply({"", *version});
}

std::optional<HttpReply> PlatformStandin::outage(const HttpCall &call)
{
    std::unique_lock lock(m_mutex);
    const auto down = m_faults.down;
    if (down == PlatformFaults::Down::No)
        return std::nullopt;
    if (down == PlatformFaults::Down::Refuses)
        return jsonReply(503, R"({"error":"unavailable"})");
    if (down == PlatformFaults::Down::Hangs) {
        m_changed.wait_for(lock, kHang, [this] {
            return m_aborted || m_faults.down != PlatformFaults::Down::Hangs;
        });
    }
    lock.unlock();
    m_host.http().cutConnection(call.clientPort);
    return HttpReply{};
}

bool PlatformStandin::takeRate(Bucket &bucket, double perSecond)
{
    if (perSecond <= 0)
        return true;
    const std::lock_guard lock(m_mutex);
    const auto now = steadyNow();
    const double refill = toSeconds(now - bucket.at) * perSecond;
    bucket.tokens = std::min(std::max(1.0, perSecond), bucket.tokens + refill);
    bucket.at = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

bool PlatformStandin::takeLostAnswer(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.lostAnswers <= 0 ||
        key.compare(0, m_faults.lostPrefix.size(), m_faults.lostPrefix) != 0)
        return false;
    --m_faults.lostAnswers;
    return true;
}

void PlatformStandin::waitSlow()
{
    std::unique_lock lock(m_mutex);
    if (m_faults.slow.count() > 0)
        m_changed.wait_for(lock, m_faults.slow, [this] { return m_aborted; });
}

HttpReply PlatformStandin::vms() const
{
    auto list = nlohmann::json::array();
    const std::lock_guard lock(m_mutex);
    const ListVersion *visible = nullptr;
    for (const auto &it : m_lists) {
        // The first list shows at once, as VMs start with a list.
        if (visible == nullptr || it.at <= steadyNow() - m_faults.listLag)
            visible = &it;
    }
    for (const auto &it : visible == nullptr ? std::vector<VmEntry>{} : visible->vms) {
        list.push_back(
                {{"node", it.node.value}, {"domain", it.domain.value}, {"leaving", it.leaving}});
    }
    return jsonReply(200, nlohmann::json{{"vms", list}}.dump());
}

HttpReply PlatformStandin::countersReply() const
{
    return jsonReply(200, nlohmann::json(counters()).dump());
}

HttpReply PlatformStandin::control(const HttpCall &call)
{
    try {
        applyControl(call.body);
    } catch (const nlohmann::json::exception &) {
        return jsonReply(400, R"({"error":"invalid_body"})");
    }
    return jsonReply(200, "{}");
}

void PlatformStandin::applyControl(const std::string &body)
{
    const auto json = nlohmann::json::parse(body);
    auto next = faults();
    if (json.contains("down"))
        next.down = valueOf(kDownNames, json["down"].get<std::string>())
                            .value_or(PlatformFaults::Down::No);
    next.slow = milliseconds(json.value("slow_ms", toMillis(next.slow)));
    next.readsPerSecond = json.value("reads_per_second", next.readsPerSecond);
    next.writesPerSecond = json.value("writes_per_second", next.writesPerSecond);
    next.lostAnswers = json.value("lost_answers", next.lostAnswers);
    next.lostPrefix = json.value("lost_prefix", next.lostPrefix);
    next.listLag = milliseconds(json.value("list_lag_ms", toMillis(next.listLag)));
    next.listDown = json.value("list_down", next.listDown);
    setFaults(next);
    if (!json.contains("vms"))
        return;
    std::vector<VmEntry> entries;
    for (const auto &it : json["vms"])
        entries.push_back({NodeId(it.at("node").get<std::string>()),
                           FailureDomain(it.value("domain", "")), it.value("leaving", false)});
    setVms(std::move(entries));
}

} // namespace hawthornslip::standin
