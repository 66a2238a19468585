#include "review/standins/worker.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace hawthornslip::review {

namespace {

constexpr std::size_t kMaxConnections = 110;
constexpr int kSlots = 6;

std::string headerOf(const HttpRequest &request, std::string_view name)
{
    const auto *value = request.header(name);
    return value == nullptr ? "" : *value;
}

std::int64_t unixMillis()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace

Worker::Worker(AsioEventLoop &loop, std::string id, Duration work, OnRun onRun)
    : m_loop(loop)
    , m_id(std::move(id))
    , m_work(work)
    , m_onRun(std::move(onRun))
    , m_server(loop, *this, kMaxConnections)
{}

void Worker::exit()
{
    m_hasExited = true;
    m_server.stopAccepting();
    for (const auto &it : std::exchange(m_running, {}))
        it->abort();
    m_server.closeIdle();
}

std::uint16_t Worker::start()
{
    m_port = m_server.start({"127.0.0.1", 0}) ? m_server.port() : 0;
    return m_port;
}

nlohmann::json Worker::entry(const std::string &service, const std::string &state) const
{
    return {{"service", service},  {"address", fmt::format("127.0.0.1:{}", m_port)},
            {"zone", "riga-a"},    {"version", "v1"},
            {"slots", kSlots},     {"state", state},
            {"cold_left_ms", 0},   {"sequence", 1},
            {"born", unixMillis()}};
}

bool Worker::failsNext()
{
    constexpr int kTen = 10;
    return m_runs++ % kTen < m_failsOfTen;
}

HttpHeaders Worker::answerHeaders(const std::string &attempt) const
{
    HttpHeaders headers = {{"X-Hawthornslip-Attempt-Id", attempt}};
    if (m_saysLeaving)
        headers.emplace_back("Server-Leaving", "1");
    return headers;
}

std::shared_ptr<CallerEvents> Worker::onRequest(HttpRequest request,
                                                std::shared_ptr<ResponseWriter> writer)
{
    if (m_hasExited) {
        writer->abort();
        return nullptr;
    }
    const std::string attempt = headerOf(request, "x-hawthornslip-attempt-id");
    auto headers = answerHeaders(attempt);
    const std::string expected = headerOf(request, "x-hawthornslip-expect-instance");
    const bool isMisdirected = !expected.empty() && expected != m_id;
    if (isMisdirected || attempt.empty()) {
        headers.emplace_back("X-Hawthornslip-Not-Executed", "1");
        headers.emplace_back("X-Hawthornslip-Instance-Id", m_id);
        writer->begin(isMisdirected ? 421 : 400, headers, 0);
        writer->end();
        return nullptr;
    }
    m_onRun({m_id, attempt, request.path, headerOf(request, "x-hawthornslip-tenant"), request.body,
             m_loop.now()});
    m_running.insert(writer);
    headers.emplace_back("X-Hawthornslip-Response-Stamp", "stamp-" + attempt);
    m_loop.after(m_work, [this, headers, attempt, writer, fails = failsNext()] {
        if (m_running.erase(writer) == 0)
            return;
        const std::string body = (fails ? "failed " : "done ") + attempt;
        writer->begin(fails ? 503 : 200, headers, body.size());
        writer->write(body);
        writer->end();
    });
    return nullptr;
}

} // namespace hawthornslip::review
