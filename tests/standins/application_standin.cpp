#include "tests/standins/application_standin.h"

#include "tests/standins/prompt.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace hawthornslip::standin {

namespace {

std::string markerOf(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("user") || !json["user"].is_string())
        return {};
    return json["user"].get<std::string>();
}

} // namespace

ApplicationStandin::ApplicationStandin(ApplicationSpec spec)
    : m_spec(std::move(spec))
    , m_host([this](const HttpCall &call) { return handle(call); }, [this] { abortAll(); })
{}

ApplicationStandin::~ApplicationStandin()
{
    stop();
}

bool ApplicationStandin::start(std::uint16_t port)
{
    return m_host.start(port);
}

void ApplicationStandin::stop()
{
    m_host.stop();
}

void ApplicationStandin::crash(Duration restartAfter)
{
    m_host.crash(restartAfter);
}

void ApplicationStandin::setFaults(const ApplicationFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

ApplicationFaults ApplicationStandin::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

bool ApplicationStandin::takeFault(int ApplicationFaults::*counter)
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.*counter <= 0)
        return false;
    --(m_faults.*counter);
    return true;
}

HttpReply ApplicationStandin::handle(const HttpCall &call)
{
    if (m_spec.oneWay.count() > 0)
        std::this_thread::sleep_for(m_spec.oneWay * 2);
    if (call.method == "GET" && call.path == "/runs")
        return jsonReply(200, m_runs.toJson());
    if (call.method == "POST" && call.path == "/control")
        return control(call);
    return run(call);
}

HttpReply ApplicationStandin::run(const HttpCall &call)
{
    const std::string id = call.header("x-request-id");
    if (faults().refuse) {
        auto reply = jsonReply(503, R"({"error":"unavailable"})");
        reply.headers["X-Execution"] = "not_run";
        return reply;
    }
    if (takeFault(&ApplicationFaults::breaksBefore)) {
        m_host.http().cutConnection(call.clientPort);
        return {};
    }
    const auto marker = markerOf(call.body);
    const auto run = m_runs.begin(id, call.header("idempotency-key"), marker);
    const auto standard = static_cast<std::uint32_t>(toMillis(m_spec.work));
    const auto time = milliseconds(promptNumber(call.body, "work_ms", standard));
    const bool whole = work(time);
    m_runs.end(run, whole ? RunState::Done : RunState::Broken);
    if (!whole || takeFault(&ApplicationFaults::breaksAfter))
        m_host.http().cutConnection(call.clientPort);
    auto reply = jsonReply(
            200, nlohmann::json{{"id", id}, {"user", marker}, {"path", call.path}}.dump());
    reply.headers["X-Request-Id"] = id;
    return reply;
}

bool ApplicationStandin::work(Duration time)
{
    std::unique_lock lock(m_mutex);
    const auto epoch = m_epoch;
    const auto crashed = [this, epoch] { return m_epoch != epoch; };
    m_changed.wait(lock, [&] { return m_busy < m_spec.slots || crashed(); });
    if (crashed())
        return false;
    ++m_busy;
    const auto slowed = std::chrono::duration<double>(toSeconds(time) * m_faults.straggle);
    const bool whole = !m_changed.wait_for(lock, slowed, crashed);
    if (whole)
        --m_busy;
    m_changed.notify_all();
    return whole;
}

void ApplicationStandin::abortAll()
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_epoch;
        m_busy = 0;
    }
    m_changed.notify_all();
}

HttpReply ApplicationStandin::control(const HttpCall &call)
{
    const auto json = nlohmann::json::parse(call.body, nullptr, false);
    if (!json.is_object())
        return jsonReply(400, R"({"error":"invalid_body"})");
    try {
        auto next = faults();
        next.straggle = json.value("straggle", next.straggle);
        next.refuse = json.value("refuse", next.refuse);
        next.breaksBefore = json.value("breaks_before", next.breaksBefore);
        next.breaksAfter = json.value("breaks_after", next.breaksAfter);
        setFaults(next);
        if (json.value("crash", false))
            crash(milliseconds(json.value("restart_after_ms", -1)));
    } catch (const nlohmann::json::exception &) {
        return jsonReply(400, R"({"error":"invalid_value"})");
    }
    return jsonReply(200, "{}");
}

} // namespace hawthornslip::standin
