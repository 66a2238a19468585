#pragma once

// A model worker that streams numbered events, and goes on after Last-Event-Id.

#include "kit.h"

namespace kit {

struct StreamShape
{
    unsigned events = 40;
    double interval = 0.1;
    /** Time until the first event. */
    double first = 0.1;
    unsigned slots = 64;
};

/** One worker; each start is a new process of it, under the same id and address. */
class ModelWorker
{
public:
    ModelWorker(Store &store, Record &record, std::string id, std::string service,
                StreamShape shape = {})
        : m_store(store)
        , m_record(record)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_shape(shape)
        , m_port(freePort())
    {}
    ~ModelWorker() { crash(); }

    void start(const std::string &version)
    {
        m_version = version;
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
        m_listener = std::make_unique<Listener>(m_port, [this](Socket &it) { serve(it); });
        m_listener->start();
        m_isRunning = true;
        m_record.line("worker " + m_id + " starts with version " + version);
        m_heart = std::thread([this] { beat(); });
    }

    /** Ends the process without a word. */
    void crash()
    {
        if (!m_isRunning.exchange(false))
            return;
        m_record.line("worker " + m_id + " (version " + m_version + ") crashes");
        m_listener->stop();
        m_heart.join();
        m_listener.reset();
    }

    unsigned running() const { return m_running; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void beat()
    {
        bool isListed = false;
        for (unsigned tick = 0; m_isRunning; ++tick) {
            if (tick % 24 == 0 || !isListed) {
                isListed = m_store.write("servers", m_id,
                                         {{"service", m_service},
                                          {"address", address()},
                                          {"zone", "zone-a"},
                                          {"version", m_version},
                                          {"slots", m_shape.slots},
                                          {"state", "ready"},
                                          {"cold_left_ms", 0},
                                          {"sequence", 0},
                                          {"born", m_born}});
            }
            pause(0.05);
        }
    }

    void serve(Socket &socket)
    {
        while (const auto request = readRequest(socket)) {
            if (request->path == "/report") {
                if (!answer(socket, 200, {{"Content-Type", "application/json"}},
                            Json{{"stage", "both"}, {"busy", false}, {"born", m_born}}.dump()))
                    return;
                continue;
            }
            const std::string attempt = request->headers.get("x-hawthornslip-attempt-id");
            if (request->headers.get("x-hawthornslip-expect-instance") != m_id) {
                if (!answer(socket, 421,
                            {{"X-Hawthornslip-Not-Executed", "1"},
                             {"X-Hawthornslip-Attempt-Id", attempt}},
                            ""))
                    return;
                continue;
            }
            if (!stream(socket, *request, attempt))
                return;
        }
    }

    bool stream(Socket &socket, const Request &request, const std::string &attempt)
    {
        const std::string last = request.headers.get("last-event-id");
        unsigned event = last.empty() ? 0 : static_cast<unsigned>(std::atoi(last.c_str()));
        m_record.line("run " + attempt + " at " + m_id + " version " + m_version + " after event " +
                      std::to_string(event));
        ++m_running;
        std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                           "X-Hawthornslip-Response-Stamp: " +
                           m_id + "." + attempt + "\r\nX-Hawthornslip-Attempt-Id: " + attempt +
                           "\r\nTransfer-Encoding: chunked\r\n\r\n";
        bool isSound = true;
        bool isFirst = true;
        while (isSound && event < m_shape.events && m_isRunning) {
            pause(isFirst ? m_shape.first : m_shape.interval);
            isFirst = false;
            ++event;
            const std::string piece = "id: " + std::to_string(event) + "\ndata: " + attempt +
                                      " version=" + m_version + " worker=" + m_id + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
            text += size + piece + "\r\n";
            isSound = m_isRunning && !socket.isPeerGone() && socket.send(text);
            text.clear();
        }
        --m_running;
        return isSound && m_isRunning && socket.send(text + "0\r\n\r\n");
    }

    Store &m_store;
    Record &m_record;
    std::string m_id;
    std::string m_service;
    StreamShape m_shape;
    std::uint16_t m_port;
    std::string m_version;
    std::int64_t m_born = 0;
    std::atomic<bool> m_isRunning = false;
    std::atomic<unsigned> m_running = 0;
    std::unique_ptr<Listener> m_listener;
    std::thread m_heart;
};

/** What a requester got of a stream. */
struct StreamResult
{
    std::string attempt;
    Answer answer;
    std::set<std::string> versions;
    unsigned events = 0;
};

inline std::string routePath()
{
    return "/draft/";
}

inline Json streamingConfig(unsigned version, const std::string &service)
{
    return {{"version", version},
            {"routes",
             {{{"name", "draft"},
               {"host", "models.example"},
               {"path_prefix", routePath()},
               {"route_kind", "streaming"},
               {"resumable", true},
               {"service", service},
               {"timeout_ms", 15000},
               {"goal_ms", 2000},
               {"gap_goal_ms", 800},
               {"max_attempts", 2},
               {"priority", 0},
               {"public", true},
               {"sticky", true}}}},
            {"services", {{{"name", service}, {"max_conns", 370}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 1048576},
              {"header_timeout_ms", 5000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", {{{"name", "hule930"}, {"api_keys", {"n2ctnfzs989anu6wsjnb"}}}}}};
}

/** @return the parts of a prompt: a shared one, @p own of its session, and the last one. */
inline std::string promptParts(const std::string &attempt, unsigned own)
{
    std::string parts = "5c1e07a2:100";
    for (unsigned i = 0; i < own; ++i) {
        char part[32];
        std::snprintf(part, sizeof part, ",%s%03x:16", attempt.substr(2, 6).c_str(), i);
        parts += part;
    }
    return parts + "," + attempt + ":200";
}

inline std::string streamRequest(const std::string &attempt, const std::string &more = "",
                                 unsigned ownParts = 0)
{
    const std::string body = "{\"prompt\":\"chair\"}";
    return "POST " + routePath() + "2f HTTP/1.1\r\nHost: models.example\r\n" +
           "X-Hawthornslip-Attempt-Id: " + attempt + "\r\nX-Hawthornslip-Deadline-Ms: 15000\r\n" +
           "X-Hawthornslip-Model: m\r\nX-Hawthornslip-Token-Usage: " +
           std::to_string(300 + 16 * ownParts) + ",200\r\n" +
           "X-Hawthornslip-Prefix-Hash: " + promptParts(attempt, ownParts) + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Asks for one stream and reads it to its end. */
inline StreamResult readStream(std::uint16_t port, const std::string &attempt,
                               const std::string &more = "", unsigned ownParts = 0)
{
    StreamResult result;
    result.attempt = attempt;
    const auto socket = connectTo(port);
    if (!socket || !socket->send(streamRequest(attempt, more, ownParts)))
        return result;
    result.answer = readAnswer(*socket, 15);
    if (result.answer.status != 200)
        return result;
    const std::string &body = result.answer.body;
    for (std::size_t at = body.find("version="); at != std::string::npos;
         at = body.find("version=", at + 1)) {
        result.versions.insert(body.substr(at + 8, body.find(' ', at) - at - 8));
        ++result.events;
    }
    return result;
}

} // namespace kit
