#include "tests/standins/engine_standin.h"

#include "tests/standins/prompt.h"
#include "tests/standins/steady_now.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace hawthornslip::standin {

namespace {

/** Interval of the check for closed connections. */
constexpr Duration kClosedCheck = milliseconds(10);
/** Longest age of a load report that can be asked for. */
constexpr Duration kLoadHistory = seconds(30);

HttpReply notRun(int status, const std::string &error)
{
    auto reply = jsonReply(status, nlohmann::json{{"error", error}}.dump());
    reply.headers["X-Execution"] = "not_run";
    return reply;
}

} // namespace

EngineStandin::EngineStandin(EngineSpec spec)
    : m_spec(std::move(spec))
    , m_orders(m_spec.models, m_spec.checksFencing, m_spec.modelLoad)
    , m_batch(m_spec.batch)
    , m_cache(m_spec.cacheBlocks)
    , m_host([this](const HttpCall &call) { return handle(call); }, [this] { abortAll(); })
    , m_loop([this] { runLoop(); })
{}

EngineStandin::~EngineStandin()
{
    stop();
    {
        const std::lock_guard lock(m_mutex);
        m_closing = true;
    }
    m_changed.notify_all();
    m_loop.join();
}

bool EngineStandin::start(std::uint16_t port)
{
    return m_host.start(port);
}

void EngineStandin::stop()
{
    m_host.stop();
}

void EngineStandin::crash(Duration restartAfter)
{
    m_host.crash(restartAfter);
}

void EngineStandin::setFaults(const EngineFaults &faults)
{
    {
        const std::lock_guard lock(m_mutex);
        if (faults.paused != m_faults.paused)
            m_batch.setPaused(steadyNow(), faults.paused);
        m_batch.setStraggle(faults.straggle);
        m_faults = faults;
    }
    m_changed.notify_all();
}

EngineFaults EngineStandin::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

std::uint32_t EngineStandin::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_batch.running();
}

HttpReply EngineStandin::handle(const HttpCall &call)
{
    if (m_spec.oneWay.count() > 0)
        std::this_thread::sleep_for(m_spec.oneWay * 2);
    if (call.method == "POST" &&
        (call.path == "/v1/chat/completions" || call.path == "/v1/completions"))
        return complete(call);
    if (call.method == "GET" && call.path == "/load")
        return load();
    if (call.method == "GET" && call.path == "/runs")
        return jsonReply(200, m_runs.toJson());
    if (call.method == "POST" && call.path == "/orders")
        return m_orders.take(steadyNow(), call.body);
    if (call.method == "POST" && call.path == "/control")
        return control(call);
    return jsonReply(404, R"({"error":"unknown_path"})");
}

HttpReply EngineStandin::complete(const HttpCall &call)
{
    const auto prompt = readPrompt(call.body);
    if (!prompt)
        return notRun(400, "invalid_body");
    const auto current = faults();
    if (current.refuse || current.draining)
        return notRun(503, "unavailable");
    if (!m_orders.serves(steadyNow(), prompt->model))
        return notRun(503, "model_not_loaded");
    EngineStream::About about;
    about.requestId = call.header("x-request-id");
    about.model = prompt->model;
    about.promptTokens = static_cast<std::uint32_t>(prompt->text.size()) / kBytesPerToken;
    about.tokens = std::max(prompt->tokens, 1U);
    about.clientPort = call.clientPort;
    about.streamed = prompt->streamed;
    applyFaults(about, prompt->resumeAfter);
    const auto stream = std::make_shared<EngineStream>(std::move(about));
    if (!submit(stream, call, prompt->text, prompt->resumeAfter))
        return notRun(429, "queue_full");
    HttpReply reply = jsonReply(200, "");
    if (prompt->streamed) {
        reply.headers["Content-Type"] = "text/event-stream";
        reply.stream = stream;
    } else {
        reply.body = stream->waitForWhole();
        if (reply.body.empty())
            m_host.http().cutConnection(call.clientPort);
    }
    reply.headers["X-Request-Id"] = call.header("x-request-id");
    return reply;
}

void EngineStandin::applyFaults(EngineStream::About &about, std::uint32_t firstToken)
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t second = std::int64_t{firstToken} + 1;
    if (m_faults.breaks > 0 && m_faults.breaks-- > 0)
        about.breakAtToken = firstToken + m_faults.breakAfterTokens;
    if (m_faults.skippedTokens > 0 && m_faults.skippedTokens-- > 0)
        about.skipToken = second;
    if (m_faults.repeatedTokens > 0 && m_faults.repeatedTokens-- > 0)
        about.repeatToken = second;
    if (m_faults.wrongIds > 0 && m_faults.wrongIds-- > 0)
        about.wrongId = m_lastId.empty() ? "0123456789abcdef0123456789abcdef" : m_lastId;
    m_lastId = about.requestId;
}

bool EngineStandin::submit(const std::shared_ptr<EngineStream> &stream, const HttpCall &call,
                           const std::string &prompt, std::uint32_t firstToken)
{
    {
        const std::lock_guard lock(m_mutex);
        BatchJob job;
        job.handle = m_nextHandle++;
        job.priority = std::atoi(call.header("x-priority").c_str());
        job.firstToken = firstToken;
        job.tokens = stream->about().tokens;
        // A resumed answer has to read the tokens generated before as part of its prompt.
        const auto cached = m_cache.useTokens(prompt);
        const auto uncached = stream->about().promptTokens - cached + firstToken;
        job.prefill = m_spec.batch.prefillPerToken * uncached;
        m_active[job.handle] = {stream, call.header("idempotency-key"),
                                readPrompt(call.body)->marker};
        if (!m_batch.submit(steadyNow(), job)) {
            m_active.erase(job.handle);
            return false;
        }
    }
    m_changed.notify_all();
    return true;
}

HttpReply EngineStandin::load() const
{
    const auto now = steadyNow();
    LoadSample sample;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &it : m_samples) {
            if (it.at <= now - m_faults.loadLag)
                sample = it;
        }
    }
    const double used = std::min(1.0, static_cast<double>(sample.running) / m_spec.batch.slots);
    return jsonReply(200, nlohmann::json{{"running", sample.running},
                                         {"queued", sample.queued},
                                         {"kv_used", used},
                                         {"models", m_orders.models(now)},
                                         {"role", m_orders.role()}}
                                  .dump());
}

void EngineStandin::runLoop()
{
    std::unique_lock lock(m_mutex);
    auto nextCheck = steadyNow() + kClosedCheck;
    while (!m_closing) {
        const auto due = m_batch.nextDue();
        if (m_active.empty())
            m_changed.wait(lock);
        else
            m_changed.wait_until(lock, due ? std::min(*due, nextCheck) : nextCheck);
        const auto now = steadyNow();
        for (const auto &event : m_batch.advance(now))
            handleEvent(event);
        if (now >= nextCheck) {
            dropClosed();
            nextCheck = now + kClosedCheck;
        }
        sampleLoad(now);
    }
}

void EngineStandin::handleEvent(const BatchEvent &event)
{
    const auto it = m_active.find(event.handle);
    if (it == m_active.end())
        return;
    EngineStream &stream = *it->second.stream;
    auto &about = stream.about();
    if (event.kind == BatchEvent::Kind::Started) {
        about.run = m_runs.begin(about.requestId, it->second.key, it->second.marker);
        about.started = true;
    } else if (event.kind == BatchEvent::Kind::Finished) {
        m_runs.end(about.run, RunState::Done);
        stream.finish();
        m_active.erase(it);
    } else if (about.breakAtToken >= 0 && event.token >= about.breakAtToken) {
        m_runs.end(about.run, RunState::Broken);
        stream.fail();
        m_batch.cancel(event.handle);
        m_active.erase(it);
    } else {
        m_runs.countToken(about.run);
        stream.addToken(event.token);
    }
}

void EngineStandin::dropClosed()
{
    for (auto it = m_active.begin(); it != m_active.end();) {
        auto &about = it->second.stream->about();
        if (!m_host.http().peerClosed(about.clientPort)) {
            ++it;
            continue;
        }
        if (about.started)
            m_runs.end(about.run, RunState::Cancelled);
        it->second.stream->fail();
        m_batch.cancel(it->first);
        it = m_active.erase(it);
    }
}

void EngineStandin::sampleLoad(TimePoint now)
{
    const bool same = !m_samples.empty() && m_samples.back().running == m_batch.running() &&
                      m_samples.back().queued == m_batch.queued();
    if (!same)
        m_samples.push_back({now, m_batch.running(), m_batch.queued()});
    while (m_samples.size() > 1 && m_samples[1].at < now - kLoadHistory)
        m_samples.pop_front();
}

void EngineStandin::abortAll()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[handle, active] : m_active) {
        active.stream->fail();
        if (active.stream->about().started)
            m_runs.end(active.stream->about().run, RunState::Broken);
    }
    m_active.clear();
    m_batch.clear();
    m_cache.clear();
}

HttpReply EngineStandin::control(const HttpCall &call)
{
    const auto json = nlohmann::json::parse(call.body, nullptr, false);
    if (!json.is_object())
        return jsonReply(400, R"({"error":"invalid_body"})");
    try {
        auto next = faults();
        next.straggle = json.value("straggle", next.straggle);
        next.loadLag = milliseconds(json.value("load_lag_ms", toMillis(next.loadLag)));
        next.paused = json.value("paused", next.paused);
        next.refuse = json.value("refuse", next.refuse);
        next.draining = json.value("draining", next.draining);
        next.breaks = json.value("breaks", next.breaks);
        next.breakAfterTokens = json.value("break_after_tokens", next.breakAfterTokens);
        next.wrongIds = json.value("wrong_ids", next.wrongIds);
        next.skippedTokens = json.value("skipped_tokens", next.skippedTokens);
        next.repeatedTokens = json.value("repeated_tokens", next.repeatedTokens);
        setFaults(next);
        if (json.value("crash", false))
            crash(milliseconds(json.value("restart_after_ms", -1)));
    } catch (const nlohmann::json::exception &) {
        return jsonReply(400, R"({"error":"invalid_value"})");
    }
    return jsonReply(200, "{}");
}

} // namespace hawthornslip::standin
