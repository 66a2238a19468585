#pragma once

// Small stand-ins for the cases of the third review: the platform's store, workers, requesters and
// a runner of gateway processes. All of them use loopback addresses and the real clock.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point &startTime()
{
    static Clock::time_point at = Clock::now();
    return at;
}

inline double elapsed()
{
    return std::chrono::duration<double>(Clock::now() - startTime()).count();
}

inline void pause(double s)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

/** Pauses until @p s seconds after the start. */
inline void pauseUntil(double s)
{
    if (const double left = s - elapsed(); left > 0)
        pause(left);
}

/** The record of a run; one line an event, with the time since the start. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
        if (m_file == nullptr)
            throw std::runtime_error("cannot write " + path);
    }
    ~Record() { std::fclose(m_file); }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8.3f %s\n", elapsed(), text.c_str());
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

struct Headers : std::vector<std::pair<std::string, std::string>>
{
    using std::vector<std::pair<std::string, std::string>>::vector;

    /** @param name in lower case. @return the first value, or an empty text. */
    std::string get(const std::string &name) const
    {
        for (const auto &[key, value] : *this) {
            if (key == name)
                return value;
        }
        return {};
    }
    bool has(const std::string &name) const
    {
        return std::any_of(begin(), end(), [&name](const auto &it) { return it.first == name; });
    }
};

/** A connected TCP socket with a read buffer. */
class Socket
{
public:
    explicit Socket(int fd)
        : m_fd(fd)
    {
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~Socket()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /** Reads more into the buffer. @return false at the end, on an error or after @p timeout. */
    bool fill(double timeout = 60)
    {
        pollfd entry{m_fd, POLLIN, 0};
        if (poll(&entry, 1, static_cast<int>(timeout * 1000)) <= 0)
            return false;
        char bytes[16384];
        const ssize_t n = recv(m_fd, bytes, sizeof bytes, 0);
        m_isReset = n < 0;
        if (n <= 0)
            return false;
        in.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    bool send(const std::string &bytes)
    {
        std::size_t at = 0;
        while (at < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            at += static_cast<std::size_t>(n);
        }
        return true;
    }

    /** Ends the connection with a reset; its reader wakes up. */
    void reset()
    {
        const linger option{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        const sockaddr none{AF_UNSPEC, {}};
        // Disconnecting sends the reset at once, also while another thread reads.
        ::connect(m_fd, &none, sizeof none);
        ::shutdown(m_fd, SHUT_RDWR);
    }

    void shutdownBoth() { ::shutdown(m_fd, SHUT_RDWR); }

    /** @return true when the peer has closed or reset the connection. */
    bool isPeerGone() const
    {
        char byte = 0;
        const ssize_t n = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    bool isReset() const { return m_isReset; }
    int fd() const { return m_fd; }

    std::string in;

private:
    int m_fd;
    bool m_isReset = false;
};

/** Reads lines of a head up to the blank line. @return false when the connection ends before. */
inline bool readHead(Socket &socket, std::string &first, Headers &headers, double timeout = 60)
{
    const double until = elapsed() + timeout;
    std::size_t end = 0;
    while ((end = socket.in.find("\r\n\r\n")) == std::string::npos) {
        const double left = until - elapsed();
        if (left <= 0 || !socket.fill(left))
            return false;
    }
    std::string head = socket.in.substr(0, end + 2);
    socket.in.erase(0, end + 4);
    first = head.substr(0, head.find("\r\n"));
    headers.clear();
    for (std::size_t at = head.find("\r\n") + 2; at < head.size();) {
        const auto stop = head.find("\r\n", at);
        const std::string line = head.substr(at, stop - at);
        at = stop + 2;
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' ') == std::string::npos
                               ? value.size()
                               : value.find_first_not_of(' '));
        headers.emplace_back(name, value);
    }
    return true;
}

struct Request
{
    std::string method;
    std::string path;
    std::string query;
    Headers headers;
    std::string body;

    std::string queryValue(const std::string &name) const
    {
        for (std::size_t at = 0; at < query.size();) {
            auto end = query.find('&', at);
            end = end == std::string::npos ? query.size() : end;
            const std::string item = query.substr(at, end - at);
            if (item.rfind(name + "=", 0) == 0)
                return item.substr(name.size() + 1);
            at = end + 1;
        }
        return {};
    }
};

inline std::optional<Request> readRequest(Socket &socket)
{
    Request request;
    std::string first;
    if (!readHead(socket, first, request.headers, 600))
        return std::nullopt;
    const auto space = first.find(' ');
    const auto space2 = first.find(' ', space + 1);
    request.method = first.substr(0, space);
    std::string target = first.substr(space + 1, space2 - space - 1);
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
    const std::string length = request.headers.get("content-length");
    const std::size_t n = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    while (socket.in.size() < n) {
        if (!socket.fill())
            return std::nullopt;
    }
    request.body = socket.in.substr(0, n);
    socket.in.erase(0, n);
    return request;
}

/** Answers with a whole body. */
inline bool answer(Socket &socket, int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return socket.send(text);
}

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** @return a port that is free at present. */
inline std::uint16_t freePort()
{
    static std::mutex mutex;
    static std::set<std::uint16_t> given;
    const std::lock_guard lock(mutex);
    for (;;) {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        if (bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0 ||
            getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0)
            throw std::runtime_error("no free port");
        ::close(fd);
        const std::uint16_t port = ntohs(address.sin_port);
        if (given.insert(port).second)
            return port;
    }
}

/** Listens on a loopback port and serves each connection in a thread. */
class Listener
{
public:
    using Serve = std::function<void(Socket &)>;

    Listener(std::uint16_t port, Serve serve)
        : m_port(port)
        , m_serve(std::move(serve))
    {}
    ~Listener() { stop(); }

    void start()
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const sockaddr_in address = loopback(m_port);
        if (bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 ||
            listen(m_fd, 512) != 0)
            throw std::runtime_error("cannot listen on port " + std::to_string(m_port));
        m_running = true;
        m_acceptor = std::thread([this] { acceptAll(); });
    }

    /** Closes the port and resets all connections, as a process that crashes does. */
    void stop()
    {
        if (!m_running.exchange(false))
            return;
        ::shutdown(m_fd, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_fd);
        std::vector<std::thread> threads;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &it : m_open)
                it->reset();
            threads.swap(m_threads);
        }
        for (auto &it : threads)
            it.join();
    }

    bool isRunning() const { return m_running; }

    /** Resets the connections that are open. */
    void resetAll()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &it : m_open)
            it->reset();
    }

private:
    void acceptAll()
    {
        while (m_running) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            auto socket = std::make_shared<Socket>(fd);
            const std::lock_guard lock(m_mutex);
            if (!m_running) {
                socket->reset();
                return;
            }
            m_open.insert(socket);
            m_threads.emplace_back([this, socket] {
                m_serve(*socket);
                const std::lock_guard inner(m_mutex);
                m_open.erase(socket);
            });
        }
    }

    std::uint16_t m_port;
    Serve m_serve;
    int m_fd = -1;
    std::atomic<bool> m_running = false;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Socket>> m_open;
    std::vector<std::thread> m_threads;
};

/** The platform's store, as far as the cases need it. */
class Store
{
public:
    explicit Store(std::uint16_t port)
        : m_port(port)
        , m_listener(port, [this](Socket &socket) { serve(socket); })
    {}
    ~Store()
    {
        m_isEnding = true;
        m_changed.notify_all();
    }

    void start() { m_listener.start(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /** Creates or replaces an object, as the operator and the workers do. @return false if down. */
    bool write(const std::string &kind, const std::string &name, const Json &spec)
    {
        if (m_isDown)
            return false;
        const std::lock_guard lock(m_mutex);
        put(kind, name, spec);
        return true;
    }

    bool remove(const std::string &kind, const std::string &name)
    {
        if (m_isDown)
            return false;
        const std::lock_guard lock(m_mutex);
        erase(kind, name);
        return true;
    }

    /** While it is down, each call gets 503 and watches that wait are cut off. */
    void setDown(bool isDown)
    {
        m_isDown = isDown;
        m_changed.notify_all();
    }

    /** Called with each call of a system process: method, path and query, and status. */
    std::function<void(const std::string &)> onCall;

private:
    struct Object
    {
        Json spec;
        Json status;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event
    {
        std::uint64_t revision;
        std::string kind;
        Json event;
    };

    static Json toJson(const std::string &name, const Object &object)
    {
        return {{"metadata",
                 {{"name", name},
                  {"revision", object.revision},
                  {"created", object.created},
                  {"finalizers", Json::array()},
                  {"deleting", false}}},
                {"spec", object.spec},
                {"status", object.status}};
    }

    void note(const std::string &kind, const Json &object, bool deleted)
    {
        m_history.push_back({m_revision, kind, {{"object", object}, {"deleted", deleted}}});
        m_changed.notify_all();
    }

    const Object &put(const std::string &kind, const std::string &name, const Json &spec)
    {
        Object &object = m_objects[kind][name];
        if (object.revision != 0 && object.spec == spec)
            return object;
        object.revision = ++m_revision;
        if (object.created == 0)
            object.created = object.revision;
        object.spec = spec;
        note(kind, toJson(name, object), false);
        return object;
    }

    void erase(const std::string &kind, const std::string &name)
    {
        auto &objects = m_objects[kind];
        const auto it = objects.find(name);
        if (it == objects.end())
            return;
        ++m_revision;
        Json object = toJson(name, it->second);
        objects.erase(it);
        note(kind, object, true);
    }

    void serve(Socket &socket)
    {
        while (const auto request = readRequest(socket)) {
            if (m_isDown) {
                if (!reply(socket, 503, Json::object()))
                    return;
                continue;
            }
            if (!handle(socket, *request))
                return;
        }
    }

    static bool reply(Socket &socket, int status, const Json &body)
    {
        return answer(socket, status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                      body.dump());
    }

    bool handle(Socket &socket, const Request &request)
    {
        static const std::string kPrefix = "/objects/";
        if (request.path.rfind(kPrefix, 0) != 0)
            return reply(socket, 404, Json::object());
        std::string kind = request.path.substr(kPrefix.size());
        std::string name;
        if (const auto slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.erase(slash);
        }
        if (request.method == "GET" && name.empty() && !request.queryValue("watch").empty())
            return watch(socket, request, kind);
        pause(0.004);
        std::unique_lock lock(m_mutex);
        int status = 200;
        Json body = Json::object();
        auto &objects = m_objects[kind];
        if (request.method == "GET" && name.empty()) {
            body = {{"entries", Json::array()}, {"has_more", false}, {"as_of", m_revision}};
            const std::string after = request.queryValue("after");
            for (const auto &[key, object] : objects) {
                if (key > after)
                    body["entries"].push_back(toJson(key, object));
            }
        } else if (request.method == "GET") {
            const auto it = objects.find(name);
            status = it == objects.end() ? 404 : 200;
            if (status == 200)
                body = toJson(name, it->second);
        } else if (request.method == "DELETE") {
            status = objects.contains(name) ? 200 : 404;
            erase(kind, name);
        } else {
            const Json sent = Json::parse(request.body, nullptr, false);
            const Json metadata =
                    sent.is_object() ? sent.value("metadata", Json::object()) : Json::object();
            const bool isPost = request.method == "POST";
            if (isPost)
                name = metadata.value("name", "");
            const auto it = objects.find(name);
            std::uint64_t expected = metadata.value("revision", std::uint64_t{0});
            if (const auto text = request.queryValue("revision"); !text.empty())
                expected = std::strtoull(text.c_str(), nullptr, 10);
            if (isPost && it != objects.end()) {
                status = 409;
                body = toJson(name, it->second);
            } else if (!isPost && it == objects.end()) {
                status = 404;
            } else if (!isPost && expected != 0 && expected != it->second.revision) {
                status = 409;
                body = toJson(name, it->second);
            } else {
                body = toJson(name, put(kind, name, sent.value("spec", Json::object())));
            }
        }
        lock.unlock();
        return reply(socket, status, body);
    }

    bool watch(Socket &socket, const Request &request, const std::string &kind)
    {
        const std::uint64_t from = std::strtoull(request.queryValue("watch").c_str(), nullptr, 10);
        const double wait = std::atof(request.queryValue("wait_ms").c_str()) / 1000;
        const double until = elapsed() + std::min(wait, 30.0);
        std::unique_lock lock(m_mutex);
        for (;;) {
            Json events = Json::array();
            for (const auto &it : m_history) {
                if (it.revision > from && it.kind == kind)
                    events.push_back(it.event);
            }
            if (m_isDown) {
                lock.unlock();
                socket.reset();
                return false;
            }
            const double left = until - elapsed();
            if (!events.empty() || left <= 0 || m_isEnding || socket.isPeerGone()) {
                const Json body = {{"events", events}, {"as_of", std::max(from, m_revision)}};
                lock.unlock();
                return reply(socket, 200, body);
            }
            m_changed.wait_for(lock, std::chrono::duration<double>(std::min(left, 0.1)));
        }
    }

    std::uint16_t m_port;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 10;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_history;
    std::atomic<bool> m_isDown = false;
    std::atomic<bool> m_isEnding = false;
    Listener m_listener;
};

/** A gateway process, started with the command of the deploy file. */
class GatewayProcess
{
public:
    struct Settings
    {
        std::string name = "edge-1";
        std::string zone = "zone-a";
        std::string store;
        /** More lines of the settings file, such as the duties. */
        std::string more;
    };

    GatewayProcess(std::string binary, std::string folder, Settings settings)
        : m_binary(std::move(binary))
        , m_folder(std::move(folder))
        , m_settings(std::move(settings))
        , m_callers(freePort())
        , m_ready(freePort())
        , m_metrics(freePort())
        , m_peers(freePort())
    {}
    ~GatewayProcess() { kill(SIGKILL); }

    std::uint16_t port() const { return m_callers; }
    std::uint16_t readyPort() const { return m_ready; }
    pid_t pid() const { return m_pid; }

    void start()
    {
        const std::string file = m_folder + "/" + m_settings.name + ".toml";
        std::FILE *out = std::fopen(file.c_str(), "w");
        const auto listen = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
        const std::string text = "[node]\nname = \"" + m_settings.name + "\"\ndomain = \"" +
                                 m_settings.zone + "\"\n[listen]\ncallers = \"" +
                                 listen(m_callers) + "\"\nreadiness = \"" + listen(m_ready) +
                                 "\"\nmetrics = \"" + listen(m_metrics) + "\"\npeers = \"" +
                                 listen(m_peers) + "\"\n[store]\naddress = \"" + m_settings.store +
                                 "\"\n[limits]\nmax_descriptors = 4100\nmemory_mb = 260\n"
                                 "[keys]\nfail_closed = true\nrevoke_within_ms = 5000\n"
                                 "[upstreams]\ndrain_within_ms = 2000\nheartbeat_ms = 1200\n"
                                 "[retries]\nratio = 0.2\nwindow_s = 10\n[stop]\ngrace_s = 8\n" +
                                 m_settings.more;
        std::fputs(text.c_str(), out);
        std::fclose(out);
        const std::string log = m_folder + "/" + m_settings.name + ".log";
        const std::string node = "HAWTHORNSLIP_NODE_FILE=" + file;
        m_pid = fork();
        if (m_pid == 0) {
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            const char *arguments[] = {m_binary.c_str(), "gateway", nullptr};
            const char *environment[] = {node.c_str(), "PATH=/usr/bin:/bin", nullptr};
            execve(m_binary.c_str(), const_cast<char **>(arguments),
                   const_cast<char **>(environment));
            _exit(127);
        }
    }

    /** Sends @p number; after SIGKILL it waits for the end. */
    void kill(int number)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, number);
        if (number == SIGKILL)
            wait(10);
    }

    /** @return the status of waitpid() once the process has ended; nothing after @p timeout. */
    std::optional<int> wait(double timeout)
    {
        const double until = elapsed() + timeout;
        while (m_pid > 0) {
            int status = 0;
            if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
                m_pid = -1;
                return status;
            }
            if (elapsed() >= until)
                return std::nullopt;
            pause(0.02);
        }
        return std::nullopt;
    }

private:
    std::string m_binary;
    std::string m_folder;
    Settings m_settings;
    std::uint16_t m_callers;
    std::uint16_t m_ready;
    std::uint16_t m_metrics;
    std::uint16_t m_peers;
    pid_t m_pid = -1;
};

/** @return a connected socket, or nothing. */
inline std::unique_ptr<Socket> connectTo(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<Socket>(fd);
}

struct Answer
{
    /** 0 when no head came. */
    int status = 0;
    Headers headers;
    std::string body;
    /** The body came whole by its framing. */
    bool isComplete = false;
};

/** Reads one answer with a length or in chunks. */
inline Answer readAnswer(Socket &socket, double timeout)
{
    Answer result;
    const double until = elapsed() + timeout;
    std::string first;
    if (!readHead(socket, first, result.headers, timeout) || first.size() < 12)
        return result;
    result.status = std::atoi(first.c_str() + 9);
    const auto more = [&] { return until > elapsed() && socket.fill(until - elapsed()); };
    if (result.headers.get("transfer-encoding") == "chunked") {
        for (;;) {
            std::size_t end = 0;
            while ((end = socket.in.find("\r\n")) == std::string::npos) {
                if (!more())
                    return result;
            }
            const std::size_t n = std::strtoul(socket.in.c_str(), nullptr, 16);
            while (socket.in.size() < end + 2 + n + 2) {
                if (!more()) {
                    result.body += socket.in.substr(std::min(end + 2, socket.in.size()));
                    return result;
                }
            }
            result.body += socket.in.substr(end + 2, n);
            socket.in.erase(0, end + 2 + n + 2);
            if (n == 0) {
                result.isComplete = true;
                return result;
            }
        }
    }
    if (const auto length = result.headers.get("content-length"); !length.empty()) {
        const std::size_t n = std::strtoul(length.c_str(), nullptr, 10);
        while (socket.in.size() < n) {
            if (!more())
                break;
        }
        result.isComplete = socket.in.size() >= n;
        result.body = socket.in.substr(0, n);
        socket.in.erase(0, std::min(n, socket.in.size()));
        return result;
    }
    while (more()) {
    }
    result.body = std::exchange(socket.in, {});
    result.isComplete = !socket.isReset();
    return result;
}

/** Waits until a gateway says that it is ready. */
inline bool waitReady(std::uint16_t port, double timeout = 20)
{
    const double until = elapsed() + timeout;
    while (elapsed() < until) {
        if (const auto socket = connectTo(port)) {
            socket->send("GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
            if (readAnswer(*socket, 1).status == 200)
                return true;
        }
        pause(0.05);
    }
    return false;
}

} // namespace kit
