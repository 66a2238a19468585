#include "review/standins/callers.h"

#include <fmt/format.h>

#include <memory>
#include <utility>

namespace hawthornslip::review {

namespace {

// Four fifths of the config's idle timeout.
constexpr Duration kReuseWithin = milliseconds(12000);
constexpr Duration kSilence = seconds(9);

/** Collects one answer. */
class Handler : public UpstreamHandler
{
public:
    explicit Handler(Callers::Done done)
        : m_done(std::move(done))
    {}

    void onHeaders(int status,
                   const std::vector<std::pair<std::string, std::string>> &headers) override
    {
        m_answer.status = status;
        const auto *leaving = findHeader(headers, "server-leaving");
        m_answer.saysLeaving = leaving != nullptr && *leaving == "1";
    }
    bool onData(std::string_view piece) override
    {
        m_answer.body += piece;
        return true;
    }
    void onEnd(const UpstreamEnd &end) override
    {
        m_answer.isWhole = end.result == UpstreamResult::Complete;
        m_done(m_answer);
    }

private:
    Callers::Done m_done;
    CallerAnswer m_answer;
};

} // namespace

Callers::Callers(AsioEventLoop &loop, Record &record)
    : m_record(record)
    , m_client(loop, kSilence)
{}

void Callers::send(const CallerRequest &request, Done done)
{
    UpstreamRequest call;
    call.method = request.method;
    call.url = fmt::format("http://127.0.0.1:{}{}", request.port, request.path);
    call.headers = {{"Host", "ficu95.example"},
                    {"X-Hawthornslip-Attempt-Id", request.attempt},
                    {"X-Hawthornslip-Deadline-Ms", std::to_string(toMillis(request.timeLimit))}};
    if (!request.key.empty())
        call.headers.emplace_back("Authorization", "Bearer " + request.key);
    call.headers.insert(call.headers.end(), request.headers.begin(), request.headers.end());
    if (request.method == "POST")
        call.body = request.body.empty() ? "order " + request.attempt : request.body;
    call.connectTimeout = seconds(1);
    call.totalTimeout = request.timeLimit;
    call.reuseWithin = kReuseWithin;
    m_record.line(fmt::format("sent {} to port {}: {} {} key {}", request.attempt, request.port,
                              request.method, request.path,
                              request.key.empty() ? "none" : request.key));
    auto noteAnswer = [this, attempt = request.attempt,
                       done = std::move(done)](const CallerAnswer &answer) {
        m_record.line(fmt::format("answered {}: {}, {} bytes{}", attempt, answer.status,
                                  answer.body.size(), answer.isWhole ? "" : ", broken off"));
        done(answer);
    };
    m_client.send(std::move(call), std::make_shared<Handler>(std::move(noteAnswer)));
}

void Callers::probe(std::uint16_t port, std::function<void(bool ready)> done)
{
    UpstreamRequest call;
    call.method = "GET";
    call.url = fmt::format("http://127.0.0.1:{}/readyz", port);
    call.headers = {{"Host", "ready"}};
    call.totalTimeout = seconds(1);
    m_client.send(std::move(call),
                  std::make_shared<Handler>([done = std::move(done)](const CallerAnswer &answer) {
                      done(answer.isWhole && answer.status == 200);
                  }));
}

std::string Callers::nextAttempt()
{
    return fmt::format("{:016x}", 0x9c41d07b00000000ULL + ++m_attempts);
}

} // namespace hawthornslip::review
