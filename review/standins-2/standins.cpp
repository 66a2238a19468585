#include "standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>

extern char **environ;

namespace hawthornslip::review2 {

namespace {

constexpr std::size_t kReadBytes = 64 << 10;
constexpr int kMaxProcesses = 16;

std::array<std::atomic<pid_t>, kMaxProcesses> startedProcesses{};

void onTimeUp(int)
{
    for (const auto &it : startedProcesses) {
        if (it != 0)
            kill(it, SIGKILL);
    }
    _exit(2);
}

void setStarted(pid_t from, pid_t to)
{
    for (auto &it : startedProcesses) {
        if (it == from) {
            it = to;
            return;
        }
    }
}

std::string lower(std::string text)
{
    for (char &it : text)
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    return text;
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::uint16_t portOf(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/** @return a port that this program keeps from others and that a gateway can listen on. */
std::uint16_t reservePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = loopback(0);
    bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    return portOf(socket);
}

std::string query(const std::string &target, const std::string &name)
{
    const auto mark = target.find('?');
    std::stringstream items(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string item; std::getline(items, item, '&');) {
        if (item.starts_with(name + "="))
            return item.substr(name.size() + 1);
    }
    return {};
}

const auto kStartOfProgram = std::chrono::steady_clock::now();

} // namespace

double elapsed()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStartOfProgram)
            .count();
}

void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_file << fmt::format("{:8.3f} {}\n", elapsed(), text) << std::flush;
}

std::string Message::header(std::string_view lowerName) const
{
    for (const auto &[name, value] : headers) {
        if (name == lowerName)
            return value;
    }
    return {};
}

std::size_t Message::count(std::string_view lowerName) const
{
    return static_cast<std::size_t>(std::count_if(
            headers.begin(), headers.end(), [&](const auto &it) { return it.first == lowerName; }));
}

std::string Message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string Message::target() const
{
    const auto from = start.find(' ');
    return from == std::string::npos ? std::string()
                                     : start.substr(from + 1, start.find(' ', from + 1) - from - 1);
}

int Message::status() const
{
    return start.starts_with("HTTP/1.") ? std::atoi(start.c_str() + 9) : 0;
}

int Connection::open(std::uint16_t port, int receiveBytes)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBytes > 0) {
        // As on a network; loopback has segments of 64 KB and takes megabytes at once.
        const int segment = 1460;
        setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    }
    const sockaddr_in address = loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return socket;
    ::close(socket);
    return -1;
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool Connection::fill()
{
    std::array<char, kReadBytes> bytes{};
    const auto n = recv(m_socket, bytes.data(), bytes.size(), 0);
    if (n <= 0)
        return false;
    m_in.append(bytes.data(), static_cast<std::size_t>(n));
    return true;
}

bool Connection::readHead(Message &message)
{
    message = {};
    std::size_t end = std::string::npos;
    while ((end = m_in.find("\r\n\r\n")) == std::string::npos) {
        if (!fill())
            return false;
    }
    std::stringstream lines(m_in.substr(0, end + 2));
    m_in.erase(0, end + 4);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.ends_with('\r'))
            line.pop_back();
        const auto colon = line.find(':');
        if (message.start.empty()) {
            message.start = line;
        } else if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(lower(line.substr(0, colon)),
                                         value == std::string::npos ? "" : line.substr(value));
        }
    }
    return true;
}

void Connection::readBody(Message &message)
{
    const auto more = [this] {
        if (m_beforeRead)
            m_beforeRead();
        return fill();
    };
    const auto take = [&](std::size_t n) {
        while (m_in.size() < n) {
            if (!more())
                break;
        }
        message.body += m_in.substr(0, n);
        const bool isWhole = m_in.size() >= n;
        m_in.erase(0, n);
        return isWhole;
    };
    const std::string length = message.header("content-length");
    if (message.header("transfer-encoding") == "chunked") {
        for (;;) {
            std::size_t end = std::string::npos;
            while ((end = m_in.find("\r\n")) == std::string::npos) {
                if (!more())
                    return;
            }
            const auto size = std::strtoul(m_in.c_str(), nullptr, 16);
            m_in.erase(0, end + 2);
            if (size > 0 && !take(size))
                return;
            while (m_in.size() < 2) {
                if (!more())
                    return;
            }
            m_in.erase(0, 2);
            if (size == 0) {
                message.isWhole = true;
                return;
            }
        }
    }
    if (!length.empty()) {
        message.isWhole = take(std::strtoul(length.c_str(), nullptr, 10));
    } else if (message.status() >= 200) {
        // Ends with the connection; a reset cannot be told apart here and is not used.
        while (more()) {
        }
        message.body += std::exchange(m_in, {});
        message.isWhole = true;
    } else {
        message.isWhole = true;
    }
}

void Connection::shut()
{
    if (m_socket >= 0)
        shutdown(m_socket, SHUT_RDWR);
}

void Connection::close(bool resets)
{
    if (m_socket < 0)
        return;
    const linger option{1, 0};
    if (resets)
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    ::close(std::exchange(m_socket, -1));
}

Server::Server(Serve serve)
    : m_serve(std::move(serve))
{
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(0);
    bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    listen(m_socket, SOMAXCONN);
    m_port = portOf(m_socket);
    m_acceptor = std::thread([this] { accept(); });
}

Server::~Server()
{
    m_stopping = true;
    shutdown(m_socket, SHUT_RDWR);
    m_acceptor.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &it : m_connections)
            it->shut();
    }
    for (auto &it : m_threads)
        it.join();
    ::close(m_socket);
}

void Server::accept()
{
    while (!m_stopping) {
        const int socket = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            return;
        const int one = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        auto connection = std::make_shared<Connection>(socket);
        const std::lock_guard lock(m_mutex);
        m_connections.push_back(connection);
        m_threads.emplace_back([this, connection] {
            Message request;
            while (!m_stopping && connection->readHead(request)) {
                if (!m_serve(*connection, request))
                    break;
            }
            const std::lock_guard closing(m_mutex);
            connection->close();
        });
    }
}

std::string answerText(int status, const Headers &headers, const std::string &body)
{
    std::string text = fmt::format("HTTP/1.1 {} Status\r\n", status);
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body;
}

Store::Store()
    : m_server([this](Connection &connection, Message &request) {
        connection.readBody(request);
        return serve(connection, request);
    })
{}

Store::~Store()
{
    m_stopping = true;
    m_changed.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::lock_guard lock(m_mutex);
    change(kind, name, spec);
}

Json Store::change(const std::string &kind, const std::string &name, const Json &spec)
{
    auto &object = m_objects[kind][name];
    ++m_revision;
    const Json created = object.is_null() ? Json(m_revision) : object["metadata"]["created"];
    object = {{"metadata",
               {{"name", name},
                {"revision", m_revision},
                {"created", created},
                {"finalizers", Json::array()},
                {"deleting", false}}},
              {"spec", spec},
              {"status", nullptr}};
    m_events.emplace_back(kind, Json{{"deleted", false}, {"object", object}});
    m_changed.notify_all();
    return object;
}

bool Store::serve(Connection &connection, const Message &request)
{
    const std::string target = request.target();
    std::stringstream path(target.substr(0, target.find('?')));
    std::string part;
    std::vector<std::string> parts;
    while (std::getline(path, part, '/'))
        parts.push_back(part);
    if (parts.size() < 3)
        return connection.send(answerText(404, {}, "{}"));
    const std::string name = parts.size() > 3 ? parts[3] : "";
    const std::string from = query(target, "watch");
    const Json body = Json::parse(request.body, nullptr, false);
    std::string answer;
    if (request.method() == "GET" && !name.empty())
        answer = get(parts[2], name);
    else if (request.method() == "GET" && from.empty())
        answer = list(parts[2]);
    else if (request.method() == "GET")
        answer = watch(parts[2], std::stoull(from),
                       std::atof(query(target, "wait_ms").c_str()) / 1000);
    else if (request.method() == "DELETE")
        answer = answerText(200, {}, "{}");
    else
        answer = write(parts[2], name, body);
    return connection.send(answer);
}

std::string Store::list(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    Json entries = Json::array();
    for (const auto &[name, object] : m_objects[kind])
        entries.push_back(object);
    const Json body{{"entries", entries}, {"has_more", false}, {"as_of", m_revision}};
    return answerText(200, {{"Content-Type", "application/json"}}, body.dump());
}

std::string Store::watch(const std::string &kind, std::uint64_t revision, double wait)
{
    std::unique_lock lock(m_mutex);
    const auto due = std::chrono::steady_clock::now() +
                     std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                             std::chrono::duration<double>(wait));
    Json events = Json::array();
    const auto collect = [&] {
        for (const auto &[of, event] : m_events) {
            if (of == kind && event["object"]["metadata"]["revision"] > revision)
                events.push_back(event);
        }
        return !events.empty() || m_stopping;
    };
    m_changed.wait_until(lock, due, collect);
    const Json body{{"events", events}, {"as_of", m_revision}};
    return answerText(200, {{"Content-Type", "application/json"}}, body.dump());
}

std::string Store::get(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto &objects = m_objects[kind];
    const auto it = objects.find(name);
    return it == objects.end() ? answerText(404, {}, "{}") : answerText(200, {}, it->second.dump());
}

std::string Store::write(const std::string &kind, const std::string &name, const Json &body)
{
    const std::lock_guard lock(m_mutex);
    const Json metadata = body.value("metadata", Json::object());
    const std::string of = name.empty() ? metadata.value("name", "") : name;
    auto &objects = m_objects[kind];
    const auto known = objects.find(of);
    if (name.empty() && known != objects.end())
        return answerText(409, {}, known->second.dump());
    if (!name.empty() && known == objects.end())
        return answerText(404, {}, "{}");
    if (metadata.contains("revision") && known != objects.end() &&
        known->second["metadata"]["revision"] != metadata["revision"])
        return answerText(409, {}, known->second.dump());
    return answerText(name.empty() ? 201 : 200, {}, change(kind, of, body["spec"]).dump());
}

Json workerEntry(const std::string &service, std::uint16_t port)
{
    return {{"service", service}, {"address", fmt::format("127.0.0.1:{}", port)},
            {"zone", "here"},     {"version", "v1"},
            {"slots", 64},        {"state", "ready"},
            {"cold_left_ms", 0},  {"sequence", 1}};
}

GatewayProcess::GatewayProcess(GatewayOptions options)
    : m_options(std::move(options))
{
    std::string folder = std::filesystem::temp_directory_path() / "review-2-XXXXXX";
    m_folder = mkdtemp(folder.data());
    for (int i = 0; i < 4; ++i)
        m_ports.push_back(reservePort());
    std::ofstream file(m_folder + "/settings");
    file << fmt::format("[node]\nname = \"{}\"\ndomain = \"here\"\n\n"
                        "[listen]\ncallers = \"127.0.0.1:{}\"\nreadiness = \"127.0.0.1:{}\"\n"
                        "metrics = \"127.0.0.1:{}\"\npeers = \"127.0.0.1:{}\"\n\n"
                        "[store]\naddress = \"127.0.0.1:{}\"\n\n"
                        "[limits]\nmax_descriptors = {}\nmemory_mb = {}\n\n"
                        "[keys]\nfail_closed = true\nrevoke_within_ms = 5000\n\n"
                        "[upstreams]\ndrain_within_ms = 2000\nheartbeat_ms = 1200\n\n"
                        "[retries]\nratio = 0.2\nwindow_s = 10\n\n[stop]\ngrace_s = 8\n",
                        m_options.name, m_ports[0], m_ports[1], m_ports[2], m_ports[3],
                        m_options.store, m_options.descriptors, m_options.memoryMb);
}

GatewayProcess::~GatewayProcess()
{
    if (isRunning()) {
        signal(SIGCONT);
        signal(SIGKILL);
        waitEnd(10);
    }
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

void GatewayProcess::start()
{
    const std::string log = m_folder + "/log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = "target/hawthornslip";
    std::string command = "gateway";
    const std::string settings = m_folder + "/settings";
    setenv("HAWTHORNSLIP_NODE_FILE", settings.c_str(), 1);
    std::array<char *, 3> arguments = {program.data(), command.data(), nullptr};
    if (posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(), environ) != 0)
        m_pid = 0;
    posix_spawn_file_actions_destroy(&actions);
    setStarted(0, m_pid);
}

void GatewayProcess::signal(int number) const
{
    if (m_pid != 0)
        kill(m_pid, number);
}

bool GatewayProcess::waitReady(double seconds) const
{
    for (const double until = elapsed() + seconds; elapsed() < until; sleepFor(0.05)) {
        Connection connection(Connection::open(m_ports[1]));
        Message answer;
        if (connection.isOpen() && connection.send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
            connection.readHead(answer) && answer.status() == 200)
            return true;
    }
    return false;
}

int GatewayProcess::waitEnd(double seconds)
{
    for (const double until = elapsed() + seconds; m_pid != 0; sleepFor(0.02)) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            setStarted(m_pid, 0);
            m_pid = 0;
            return status;
        }
        if (elapsed() >= until)
            break;
    }
    return -1;
}

bool GatewayProcess::isRunning()
{
    return m_pid != 0 && waitEnd(0) == -1;
}

double GatewayProcess::residentMb() const
{
    std::ifstream file(fmt::format("/proc/{}/statm", m_pid));
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    constexpr double kMiB = 1 << 20;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kMiB;
}

std::string GatewayProcess::log() const
{
    std::ifstream file(m_folder + "/log");
    return {std::istreambuf_iterator<char>(file), {}};
}

void limitTime(unsigned seconds)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGALRM, onTimeUp);
    std::signal(SIGTERM, onTimeUp);
    std::signal(SIGINT, onTimeUp);
    alarm(seconds);
}

} // namespace hawthornslip::review2
