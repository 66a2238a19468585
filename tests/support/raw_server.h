#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

/** Plain sockets on loopback for tests that need a peer which misbehaves. */
namespace hawthornslip::test {

/** A connected socket. */
class RawConnection
{
public:
    explicit RawConnection(int socket)
        : m_socket(socket)
    {}
    RawConnection(RawConnection &&other) noexcept
        : m_socket(std::exchange(other.m_socket, -1))
        , m_buffer(std::move(other.m_buffer))
    {}
    ~RawConnection() { close(); }
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /** Connects to @p port on loopback. */
    static RawConnection connectTo(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            ::close(socket);
            return RawConnection(-1);
        }
        return RawConnection(socket);
    }

    bool open() const { return m_socket >= 0; }

    bool send(const std::string &text) const
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto n = ::send(m_socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /** Reads until the bytes so far contain @p mark, the peer closes or 10 s of silence. */
    std::string readUntil(const std::string &mark)
    {
        while (m_buffer.find(mark) == std::string::npos) {
            if (!readSome())
                return std::exchange(m_buffer, {});
        }
        const auto end = m_buffer.find(mark) + mark.size();
        auto text = m_buffer.substr(0, end);
        m_buffer.erase(0, end);
        return text;
    }

    /** Reads until the peer closes. */
    std::string readAll()
    {
        while (readSome()) {
        }
        return std::exchange(m_buffer, {});
    }

    /** Reads a request or answer with its body. */
    std::string readMessage()
    {
        auto head = readUntil("\r\n\r\n");
        const auto at = head.find("ontent-Length: ");
        if (at == std::string::npos)
            return head;
        const auto length = std::stoul(head.substr(at + 15));
        while (m_buffer.size() < length && readSome()) {
        }
        head += m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return head;
    }

    /** Waits until the peer has closed. @return false after 10 s. */
    bool waitClosed() const
    {
        pollfd it{m_socket, POLLRDHUP, 0};
        return poll(&it, 1, kPatienceMillis) == 1;
    }

    /** Ends the bytes to the peer; the connection stays open for what the peer sends. */
    void endStream() const { shutdown(m_socket, SHUT_WR); }

    /** Closes with a reset, so that the peer sees an error. */
    void reset()
    {
        const linger now{1, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(std::exchange(m_socket, -1));
    }

private:
    static constexpr int kPatienceMillis = 10000;

    bool readSome()
    {
        pollfd it{m_socket, POLLIN, 0};
        if (poll(&it, 1, kPatienceMillis) != 1)
            return false;
        std::string room(16384, '\0');
        const auto n = recv(m_socket, room.data(), room.size(), 0);
        if (n <= 0)
            return false;
        m_buffer.append(room, 0, static_cast<std::size_t>(n));
        return true;
    }

    int m_socket;
    std::string m_buffer;
};

/** Accepts connections on a free port and gives each to a function on a thread of its own. */
class RawServer
{
public:
    using Script = std::function<void(RawConnection &, int number)>;

    explicit RawServer(Script script)
        : m_script(std::move(script))
        , m_socket(listenOnFreePort(m_port))
        , m_thread([this] { accept(); })
    {}
    ~RawServer()
    {
        shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        ::close(m_socket);
        for (auto &it : m_workers)
            it.join();
    }
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_port); }
    int connections() const { return m_connections; }

    /** @return a port on which nothing listens. */
    static std::uint16_t closedPort()
    {
        std::uint16_t port = 0;
        ::close(listenOnFreePort(port));
        return port;
    }

private:
    static int listenOnFreePort(std::uint16_t &port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address);
        listen(socket, 128);
        socklen_t length = sizeof address;
        getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
        port = ntohs(address.sin_port);
        return socket;
    }

    void accept()
    {
        while (true) {
            const int socket = ::accept(m_socket, nullptr, nullptr);
            if (socket < 0)
                return;
            const int number = m_connections++;
            m_workers.emplace_back([this, socket, number] {
                RawConnection connection(socket);
                m_script(connection, number);
            });
        }
    }

    Script m_script;
    std::uint16_t m_port = 0;
    int m_socket;
    std::atomic<int> m_connections{0};
    std::list<std::thread> m_workers;
    std::thread m_thread;
};

} // namespace hawthornslip::test
