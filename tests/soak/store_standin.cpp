#include "tests/soak/store_standin.h"

#include <cstdlib>

namespace hawthornslip::soak {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kPrefix = "/objects/";
constexpr std::size_t kMaxConnections = 500;

std::uint64_t queryNumber(const std::string &query, const std::string &name)
{
    const auto at = query.find(name + "=");
    return at == std::string::npos
                   ? 0
                   : std::strtoull(query.c_str() + at + name.size() + 1, nullptr, 10);
}

} // namespace

StoreStandin::StoreStandin(AsioEventLoop &loop)
    : m_loop(loop)
    , m_server(loop, *this, kMaxConnections)
{}

std::uint16_t StoreStandin::start()
{
    return m_server.start({"127.0.0.1", 0}) ? m_server.port() : 0;
}

void StoreStandin::put(const std::string &kind, const std::string &name, Json spec)
{
    ++m_revision;
    Json object = {{"metadata", {{"name", name}, {"revision", m_revision}}},
                   {"spec", std::move(spec)}};
    m_objects[kind][name] = object;
    m_history.emplace_back(kind, Json{{"object", object}, {"deleted", false}});
    wakeWatches();
}

void StoreStandin::remove(const std::string &kind, const std::string &name)
{
    if (!m_objects[kind].contains(name))
        return;
    Json object = m_objects[kind][name];
    object["metadata"]["revision"] = ++m_revision;
    m_objects[kind].erase(name);
    m_history.emplace_back(kind, Json{{"object", object}, {"deleted", true}});
    wakeWatches();
}

void StoreStandin::dropHistory()
{
    m_history.clear();
    m_oldest = ++m_revision;
    cutWatches();
}

void StoreStandin::cutWatches()
{
    for (const auto &it : std::exchange(m_watches, {})) {
        m_loop.cancel(it->timer);
        it->writer->abort();
    }
}

std::shared_ptr<CallerEvents> StoreStandin::onRequest(HttpRequest request,
                                                      std::shared_ptr<ResponseWriter> writer)
{
    ++m_calls;
    const TimePoint now = m_loop.now();
    if (now < m_silentUntil)
        return nullptr;
    if (now < m_refuseUntil) {
        answer(writer, 503, Json::object());
        return nullptr;
    }
    if (!request.path.starts_with(kPrefix)) {
        answer(writer, 404, Json::object());
        return nullptr;
    }
    const std::string kind = request.path.substr(kPrefix.size());
    if (request.method == "POST")
        create(kind, request, writer);
    else if (request.query.find("watch=") != std::string::npos)
        watch(kind, queryNumber(request.query, "watch"),
              milliseconds(static_cast<std::int64_t>(queryNumber(request.query, "wait_ms"))),
              writer);
    else
        list(kind, writer);
    return nullptr;
}

void StoreStandin::answer(const std::shared_ptr<ResponseWriter> &writer, int status,
                          const Json &body)
{
    constexpr std::uint64_t kLostOne = 3;
    if (m_loop.now() < m_loseUntil && m_calls % kLostOne == 0) {
        writer->abort();
        return;
    }
    const auto send = [writer, status, text = body.dump()] {
        writer->begin(status, {{"Content-Type", "application/json"}}, text.size());
        writer->write(text);
        writer->end();
    };
    if (m_delay > Duration(0))
        m_loop.after(m_delay, send);
    else
        send();
}

void StoreStandin::create(const std::string &kind, const HttpRequest &request,
                          const std::shared_ptr<ResponseWriter> &writer)
{
    const Json body = Json::parse(request.body);
    const auto name = body.at("metadata").at("name").get<std::string>();
    if (m_objects[kind].contains(name)) {
        answer(writer, 409, m_objects[kind][name]);
        return;
    }
    put(kind, name, body.at("spec"));
    answer(writer, 200, m_objects[kind][name]);
}

void StoreStandin::list(const std::string &kind, const std::shared_ptr<ResponseWriter> &writer)
{
    Json entries = Json::array();
    for (const auto &[name, object] : m_objects[kind])
        entries.push_back(object);
    answer(writer, 200, {{"entries", entries}, {"has_more", false}, {"as_of", m_revision}});
}

void StoreStandin::watch(const std::string &kind, std::uint64_t revision, Duration wait,
                         const std::shared_ptr<ResponseWriter> &writer)
{
    if (revision < m_oldest) {
        answer(writer, 410, Json::object());
        return;
    }
    auto entry = std::make_shared<Watch>(Watch{kind, revision, writer, 0});
    m_watches.push_back(entry);
    entry->timer = m_loop.after(wait, [this, entry] {
        std::erase(m_watches, entry);
        answer(entry->writer, 200,
               {{"events", eventsAfter(entry->kind, entry->revision)}, {"as_of", m_revision}});
    });
    wakeWatches();
}

Json StoreStandin::eventsAfter(const std::string &kind, std::uint64_t revision) const
{
    Json events = Json::array();
    for (const auto &[objectKind, event] : m_history) {
        const auto changed = event.at("object").at("metadata").at("revision").get<std::uint64_t>();
        if (objectKind == kind && changed > revision)
            events.push_back(event);
    }
    return events;
}

void StoreStandin::wakeWatches()
{
    for (const auto &it : std::vector(m_watches)) {
        const Json events = eventsAfter(it->kind, it->revision);
        if (events.empty())
            continue;
        std::erase(m_watches, it);
        m_loop.cancel(it->timer);
        answer(it->writer, 200, {{"events", events}, {"as_of", m_revision}});
    }
}

} // namespace hawthornslip::soak
