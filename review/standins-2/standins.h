#pragma once

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/** Small stand-ins for the scripts of the second review: plain sockets, a thread a connection. */
namespace hawthornslip::review2 {

using Json = nlohmann::json;
using Headers = std::vector<std::pair<std::string, std::string>>;

/** @return seconds since the start of the program. */
double elapsed();
void sleepFor(double seconds);

/** @return true unless TROUBLE=0 is in the environment. */
bool hasTrouble();

/** Writes lines to the record of a case; used from all threads. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {}
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/** A message of HTTP/1.1. */
struct Message
{
    /** The request line or the status line. */
    std::string start;
    /** Names in lower case. */
    Headers headers;
    std::string body;
    /** The body has arrived as its framing says. */
    bool isWhole = false;

    /** @return the first header of that name, or an empty text. */
    std::string header(std::string_view lowerName) const;
    /** @return the number of headers of that name. */
    std::size_t count(std::string_view lowerName) const;
    std::string method() const;
    std::string target() const;
    /** @return the status of an answer, 0 without one. */
    int status() const;
};

/** One connected socket. */
class Connection
{
public:
    explicit Connection(int socket)
        : m_socket(socket)
    {}
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** Connects to a port on loopback. @param receiveBytes receive buffer of a slow peer, 0 as is.
     */
    static int open(std::uint16_t port, int receiveBytes = 0);

    bool isOpen() const { return m_socket >= 0; }
    bool send(std::string_view bytes);
    /** Reads up to the end of the head. @return false when the peer has closed before. */
    bool readHead(Message &message);
    /** Reads the body that the head announces; message.isWhole tells whether it came in full. */
    void readBody(Message &message);
    /** Sets what is called before each read of a body. */
    void beforeRead(std::function<void()> task) { m_beforeRead = std::move(task); }
    /** Ends a read of another thread. */
    void shut();
    /** Closes; the peer sees a reset when @p resets. */
    void close(bool resets = false);

private:
    bool fill();

    int m_socket;
    std::string m_in;
    std::function<void()> m_beforeRead;
};

/** Listens on a free port of loopback and serves each connection in a thread. */
class Server
{
public:
    /** Serves one request. @return false to close the connection. */
    using Serve = std::function<bool(Connection &connection, Message &request)>;

    explicit Server(Serve serve);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::uint16_t port() const { return m_port; }

private:
    void accept();

    Serve m_serve;
    int m_socket = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/** @return an answer with a length. */
std::string answerText(int status, const Headers &headers, const std::string &body);

/** The platform's store: lists, watches and conditional writes. */
class Store
{
public:
    Store();
    std::uint16_t port() const { return m_server.port(); }
    /** Writes an object as the operator or a worker does. */
    void put(const std::string &kind, const std::string &name, const Json &spec);

private:
    bool serve(Connection &connection, const Message &request);
    std::string list(const std::string &kind);
    std::string watch(const std::string &kind, std::uint64_t revision, double wait);
    std::string write(const std::string &kind, const std::string &name, const Json &body);
    std::string get(const std::string &kind, const std::string &name);
    Json change(const std::string &kind, const std::string &name, const Json &spec);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_stopping{false};
    std::uint64_t m_revision = 10;
    std::map<std::string, std::map<std::string, Json>> m_objects;
    /** Kind and event of each change. */
    std::vector<std::pair<std::string, Json>> m_events;
    Server m_server;

public:
    ~Store();
};

/** @return an object of kind "servers". */
Json workerEntry(const std::string &service, std::uint16_t port);

/** What a gateway process is started with. */
struct GatewayOptions
{
    std::string name = "edge-1";
    std::uint16_t store = 0;
    int memoryMb = 260;
    int descriptors = 4100;
};

/** One gateway process, started as the deploy file says. */
class GatewayProcess
{
public:
    explicit GatewayProcess(GatewayOptions options);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    void start();
    void signal(int number) const;
    /** Waits until the process says that it is ready. @return false after @p seconds. */
    bool waitReady(double seconds) const;
    /** Waits for its end. @return its wait status, -1 after @p seconds. */
    int waitEnd(double seconds);
    bool isRunning();
    std::uint16_t callers() const { return m_ports[0]; }
    /** @return the process's memory in MB. */
    double residentMb() const;
    std::string log() const;

private:
    GatewayOptions m_options;
    std::string m_folder;
    std::vector<std::uint16_t> m_ports;
    pid_t m_pid = 0;
};

/** Ends all processes that were started, and this one with 2, after @p seconds. */
void limitTime(unsigned seconds);

} // namespace hawthornslip::review2
