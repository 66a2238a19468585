#include "servers/admission/load_poller.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <utility>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

constexpr Duration kPollInterval = seconds(1);
constexpr Duration kPollTimeout = seconds(1);
constexpr std::size_t kMaxAnswerBytes = 64U << 10;
constexpr int kOk = 200;

/** Collects the answer of one call. */
class LoadCall : public UpstreamHandler
{
public:
    explicit LoadCall(std::function<void(const std::optional<EngineLoad> &)> done)
        : m_done(std::move(done))
    {}

    void onHeaders(int, const std::vector<std::pair<std::string, std::string>> &) override {}

    bool onData(std::string_view piece) override
    {
        if (m_body.size() + piece.size() <= kMaxAnswerBytes)
            m_body.append(piece);
        return true;
    }

    void onEnd(const UpstreamEnd &end) override
    {
        const bool whole = end.result == UpstreamResult::Complete && end.httpStatus == kOk;
        m_done(whole ? parseEngineLoad(m_body) : std::nullopt);
    }

private:
    std::function<void(const std::optional<EngineLoad> &)> m_done;
    std::string m_body;
};

std::optional<std::uint32_t> countOf(const Json &object, const char *name)
{
    const auto it = object.find(name);
    if (it == object.end() || !it->is_number_unsigned())
        return std::nullopt;
    const auto n = it->get<std::uint64_t>();
    return n <= UINT32_MAX ? std::optional(static_cast<std::uint32_t>(n)) : std::nullopt;
}

} // namespace

std::optional<EngineLoad> parseEngineLoad(std::string_view body)
{
    const Json object = Json::parse(body, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    const auto running = countOf(object, "running");
    const auto queued = countOf(object, "queued");
    if (!running || !queued)
        return std::nullopt;
    return EngineLoad{*running, *queued};
}

LoadPoller::LoadPoller(ControlLoop &loop, UpstreamClient &client, const ConfigSource &config,
                       Targets targets, Report report)
    : m_loop(loop)
    , m_client(client)
    , m_config(config)
    , m_targets(std::move(targets))
    , m_report(std::move(report))
{}

void LoadPoller::start()
{
    m_loop.every(kPollInterval, [this] { poll(); });
}

void LoadPoller::poll()
{
    const auto config = m_config.current();
    for (const auto &it : m_targets()) {
        const Upstream *upstream = config->findUpstream(it);
        if (upstream != nullptr && upstream->kind == UpstreamKind::Language &&
            m_asked.insert(it).second)
            ask(*upstream);
    }
}

void LoadPoller::ask(const Upstream &upstream)
{
    UpstreamRequest request;
    request.method = "GET";
    request.url = upstream.url + "/load";
    request.totalTimeout = kPollTimeout;
    m_client.send(std::move(request),
                  std::make_shared<LoadCall>([this, id = upstream.id](const auto &load) {
                      m_loop.post([this, id, load] { finish(id, load); });
                  }));
}

void LoadPoller::finish(const UpstreamId &upstream, const std::optional<EngineLoad> &load)
{
    m_asked.erase(upstream);
    // A failed question says nothing about the load; attempts tell whether the engine is there.
    if (load)
        m_report(upstream, *load);
}

} // namespace hawthornslip
