#include "review/standins/store.h"

#include <cstdlib>
#include <utility>

namespace hawthornslip::review {

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

/** Forgets a watch whose caller has left. */
class Store::WatchEvents : public CallerEvents
{
public:
    WatchEvents(Store &store, std::shared_ptr<Watch> watch)
        : m_store(store)
        , m_watch(std::move(watch))
    {}

    void onCallerGone() override
    {
        m_store.m_loop.cancel(m_watch->timer);
        std::erase(m_store.m_watches, m_watch);
    }
    void onSendBufferEmpty() override {}

private:
    Store &m_store;
    std::shared_ptr<Watch> m_watch;
};

Store::Store(AsioEventLoop &loop)
    : m_loop(loop)
    , m_server(loop, *this, kMaxConnections)
{}

std::uint16_t Store::start()
{
    return m_server.start({"127.0.0.1", 0}) ? m_server.port() : 0;
}

void Store::put(const std::string &kind, const std::string &name, Json spec)
{
    ++m_revision;
    const Json object = {{"metadata", {{"name", name}, {"revision", m_revision}}},
                         {"spec", std::move(spec)},
                         {"status", nullptr}};
    m_objects[kind][name] = object;
    noteChange(kind, object, false);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const auto it = m_objects[kind].find(name);
    if (it == m_objects[kind].end())
        return;
    Json object = it->second;
    object["metadata"]["revision"] = ++m_revision;
    m_objects[kind].erase(it);
    noteChange(kind, std::move(object), true);
}

std::size_t Store::cutWatches()
{
    const auto all = std::exchange(m_watches, {});
    for (const auto &it : all) {
        m_loop.cancel(it->timer);
        it->writer->abort();
    }
    return all.size();
}

std::shared_ptr<CallerEvents> Store::onRequest(HttpRequest request,
                                               std::shared_ptr<ResponseWriter> writer)
{
    if (!request.path.starts_with(kPrefix)) {
        answer(*writer, 404, Json::object());
        return nullptr;
    }
    std::string kind = request.path.substr(kPrefix.size());
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
        name = kind.substr(slash + 1);
        kind.resize(slash);
    }
    if (request.method == "POST") {
        create(kind, request.body, *writer);
    } else if (request.method == "DELETE") {
        remove(kind, name);
        answer(*writer, 200, Json::object());
    } else if (request.query.find("watch=") != std::string::npos) {
        return watch(kind, request.query, std::move(writer));
    } else {
        Json entries = Json::array();
        for (const auto &[entryName, object] : m_objects[kind])
            entries.push_back(object);
        answer(*writer, 200, {{"entries", entries}, {"has_more", false}, {"as_of", m_revision}});
    }
    return nullptr;
}

void Store::answer(ResponseWriter &writer, int status, const Json &body)
{
    const std::string text = body.dump();
    writer.begin(status, {{"Content-Type", "application/json"}}, text.size());
    writer.write(text);
    writer.end();
}

void Store::create(const std::string &kind, const std::string &body, ResponseWriter &writer)
{
    const Json object = Json::parse(body);
    const auto name = object.at("metadata").at("name").get<std::string>();
    if (m_objects[kind].contains(name)) {
        answer(writer, 409, m_objects[kind][name]);
        return;
    }
    put(kind, name, object.at("spec"));
    answer(writer, 200, m_objects[kind][name]);
}

std::shared_ptr<CallerEvents> Store::watch(const std::string &kind, const std::string &query,
                                           std::shared_ptr<ResponseWriter> writer)
{
    const std::uint64_t revision = queryNumber(query, "watch");
    const Json events = eventsAfter(kind, revision);
    if (!events.empty()) {
        answer(*writer, 200, {{"events", events}, {"as_of", m_revision}});
        return nullptr;
    }
    const auto waitMs = static_cast<std::int64_t>(queryNumber(query, "wait_ms"));
    const auto entry = std::make_shared<Watch>(Watch{kind, revision, std::move(writer), 0});
    m_watches.push_back(entry);
    entry->timer = m_loop.after(milliseconds(waitMs), [this, entry] {
        std::erase(m_watches, entry);
        answer(*entry->writer, 200, {{"events", Json::array()}, {"as_of", m_revision}});
    });
    return std::make_shared<WatchEvents>(*this, entry);
}

Json Store::eventsAfter(const std::string &kind, std::uint64_t revision) const
{
    Json events = Json::array();
    for (const auto &[objectKind, event] : m_history) {
        const auto changed = event.at("object").at("metadata").at("revision").get<std::uint64_t>();
        if (objectKind == kind && changed > revision)
            events.push_back(event);
    }
    return events;
}

void Store::noteChange(const std::string &kind, Json object, bool deleted)
{
    m_history.emplace_back(kind, Json{{"object", std::move(object)}, {"deleted", deleted}});
    for (const auto &it : std::vector(m_watches)) {
        if (it->kind != kind)
            continue;
        std::erase(m_watches, it);
        m_loop.cancel(it->timer);
        answer(*it->writer, 200,
               {{"events", eventsAfter(kind, it->revision)}, {"as_of", m_revision}});
    }
}

} // namespace hawthornslip::review
