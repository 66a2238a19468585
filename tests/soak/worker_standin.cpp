#include "tests/soak/worker_standin.h"

#include <fmt/format.h>

#include <array>
#include <utility>

namespace hawthornslip::soak {

namespace {

constexpr std::size_t kMaxConnections = 1000;
constexpr Duration kShortestWork = milliseconds(10);
constexpr Duration kLongestWork = milliseconds(60);
constexpr Duration kEventPause = milliseconds(15);

// Without the statement that the request has not run, none of them promises that.
constexpr std::array<int, 3> kFailures = {500, 503, 429};
// Goes on the connection after a whole answer, as if it answered the next request there.
constexpr std::string_view kExtraAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                                          "X-Hawthornslip-Attempt-Id: another\r\n"
                                          "X-Hawthornslip-Response-Stamp: soak.extra\r\n\r\nextra";

std::string headerOf(const HttpRequest &request, std::string_view name)
{
    const auto *value = request.header(name);
    return value == nullptr ? "" : *value;
}

} // namespace

/** One request that the worker works on. */
class WorkerStandin::Run : public CallerEvents, public std::enable_shared_from_this<Run>
{
public:
    Run(WorkerStandin &worker, std::string id, std::shared_ptr<ResponseWriter> writer)
        : m_worker(worker)
        , m_alive(worker.m_alive)
        , m_id(std::move(id))
        , m_writer(std::move(writer))
    {}

    void onCallerGone() override { m_gone = true; }
    void onSendBufferEmpty() override {}

    /** Answers whole after some work. */
    void answerAfter(Duration work, int status)
    {
        later(work, [this, status] {
            const std::string body = status == 200 ? "done " + m_id : "failed";
            m_writer->begin(status, headers("text/plain"), body.size());
            m_writer->write(body);
            if (m_worker.m_loop.now() < m_worker.m_extraUntil && m_worker.draw(0.5))
                m_writer->write(kExtraAnswer);
            m_writer->end();
        });
    }

    /** Closes the connection after some work, so that the answer is lost. */
    void loseAfter(Duration work)
    {
        later(work, [this] { m_writer->abort(); });
    }

    /** Sends events from @p next on. @param breakAt event within which the stream breaks off. */
    void stream(std::size_t next, std::size_t breakAt)
    {
        later(kEventPause, [this, next, breakAt] {
            if (!std::exchange(m_begun, true))
                m_writer->begin(200, headers("text/event-stream"), std::nullopt);
            const std::string event = fmt::format("id: {}\ndata: {} {}\n\n", next, m_id, next);
            if (next == breakAt) {
                m_writer->write(event.substr(0, event.size() / 2));
                m_writer->abort();
                return;
            }
            if (next <= streamLength(m_id))
                m_writer->write(event);
            if (next >= streamLength(m_id))
                m_writer->end();
            else
                stream(next + 1, breakAt);
        });
    }

private:
    void later(Duration span, std::function<void()> task)
    {
        m_worker.m_loop.after(span, [self = shared_from_this(), task = std::move(task)] {
            if (*self->m_alive && !self->m_gone)
                task();
        });
    }

    HttpHeaders headers(const std::string &type) const
    {
        HttpHeaders headers = {{"Content-Type", type},
                               {"X-Hawthornslip-Attempt-Id", m_id},
                               {"X-Hawthornslip-Response-Stamp", "soak." + m_worker.m_id}};
        if (m_worker.m_isLeaving)
            headers.emplace_back("Server-Leaving", "1");
        return headers;
    }

    WorkerStandin &m_worker;
    std::shared_ptr<bool> m_alive;
    std::string m_id;
    std::shared_ptr<ResponseWriter> m_writer;
    bool m_gone = false;
    bool m_begun = false;
};

WorkerStandin::WorkerStandin(AsioEventLoop &loop, Judge &judge, std::string id, std::string service,
                             std::uint64_t seed)
    : m_loop(loop)
    , m_judge(judge)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_random(seed)
    , m_server(loop, *this, kMaxConnections)
{}

WorkerStandin::~WorkerStandin()
{
    *m_alive = false;
}

std::uint16_t WorkerStandin::start()
{
    return m_server.start({"127.0.0.1", 0}) ? m_server.port() : 0;
}

std::shared_ptr<CallerEvents> WorkerStandin::onRequest(HttpRequest request,
                                                       std::shared_ptr<ResponseWriter> writer)
{
    const TimePoint now = m_loop.now();
    const std::string id = headerOf(request, "x-hawthornslip-attempt-id");
    const bool isOther = headerOf(request, "x-hawthornslip-expect-instance") != m_id;
    if (isOther || now < m_fullUntil) {
        writer->begin(isOther ? 421 : 503,
                      {{"X-Hawthornslip-Attempt-Id", id}, {"X-Hawthornslip-Not-Executed", "1"}}, 0);
        writer->end();
        return nullptr;
    }
    const Kind kind = kindOf(request.path);
    const auto gateway =
            static_cast<std::size_t>(std::atoi(headerOf(request, "x-gateway").c_str()));
    m_judge.onArrival(id, m_id, gateway, now);
    m_judge.onRun(id, kind, m_service, now);
    auto run = std::make_shared<Run>(*this, id, std::move(writer));
    const bool fails = now < m_failUntil && draw(m_failShare);
    std::uniform_int_distribution<std::int64_t> work(kShortestWork.count(), kLongestWork.count());
    if (kind == Kind::Chat || kind == Kind::Draft) {
        const std::string last = headerOf(request, "last-event-id");
        const std::size_t next = last.empty() ? 1 : std::stoul(last) + 1;
        run->stream(next, fails ? next + m_random() % 3 : 0);
    } else if (fails && draw(0.5)) {
        run->loseAfter(Duration(work(m_random)));
    } else {
        run->answerAfter(Duration(work(m_random)),
                         fails ? kFailures[m_random() % kFailures.size()] : 200);
    }
    return run;
}

bool WorkerStandin::draw(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

} // namespace hawthornslip::soak
