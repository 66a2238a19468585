#include "bench/path/token_upstream.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace hawthornslip::bench {

namespace {

std::string chunk(const std::string &text)
{
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

std::string headerValue(const std::string &head, std::string name)
{
    name += ": ";
    const auto it = std::search(head.begin(), head.end(), name.begin(), name.end(),
                                [](char a, char b) { return std::tolower(a) == b; });
    if (it == head.end())
        return {};
    const auto at = static_cast<std::size_t>(it - head.begin()) + name.size();
    return head.substr(at, head.find('\r', at) - at);
}

} // namespace

TokenUpstream::TokenUpstream(int tokens, std::chrono::microseconds gap)
    : m_tokens(tokens)
    , m_gap(gap)
    , m_listen(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(m_listen, reinterpret_cast<sockaddr *>(&address), sizeof address);
    listen(m_listen, 1024);
    socklen_t length = sizeof address;
    getsockname(m_listen, reinterpret_cast<sockaddr *>(&address), &length);
    m_port = ntohs(address.sin_port);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = m_listen;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_listen, &event);
    m_thread = std::thread([this] { runLoop(); });
}

TokenUpstream::~TokenUpstream()
{
    m_stopping = true;
    m_thread.join();
    for (const auto &it : m_streams)
        close(it.first);
    close(m_listen);
    close(m_epoll);
}

clockid_t TokenUpstream::cpuClock()
{
    clockid_t clock{};
    pthread_getcpuclockid(m_thread.native_handle(), &clock);
    return clock;
}

void TokenUpstream::runLoop()
{
    std::array<epoll_event, 256> events{};
    while (!m_stopping) {
        std::int64_t wait = 10;
        if (!m_due.empty()) {
            const auto left = m_due.begin()->first - std::chrono::steady_clock::now();
            wait = std::clamp<std::int64_t>(
                    std::chrono::ceil<std::chrono::milliseconds>(left).count(), 0, wait);
        }
        const int n = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()),
                                 static_cast<int>(wait));
        for (int i = 0; i < n; ++i) {
            const int socket = events[static_cast<std::size_t>(i)].data.fd;
            socket == m_listen ? accept() : receive(socket);
        }
        const auto now = std::chrono::steady_clock::now();
        while (!m_due.empty() && m_due.begin()->first <= now) {
            const int socket = m_due.begin()->second;
            m_due.erase(m_due.begin());
            sendToken(socket);
        }
    }
}

void TokenUpstream::accept()
{
    const int socket = ::accept(m_listen, nullptr, nullptr);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    m_streams[socket] = {};
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = socket;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event);
}

void TokenUpstream::receive(int socket)
{
    std::array<char, 16384> room; // not cleared
    const auto n = recv(socket, room.data(), room.size(), 0);
    if (n <= 0) {
        m_streams.erase(socket);
        close(socket);
        return;
    }
    auto &stream = m_streams[socket];
    stream.input.append(room.data(), static_cast<std::size_t>(n));
    const auto head = stream.input.find("\r\n\r\n");
    if (head == std::string::npos)
        return;
    const auto length = headerValue(stream.input, "content-length");
    const auto size = head + 4 + (length.empty() ? 0 : std::stoul(length));
    if (stream.input.size() < size)
        return;
    stream.id = headerValue(stream.input, "x-request-id");
    stream.input.erase(0, size);
    stream.sent = 0;
    const auto answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\nX-Request-Id: " +
                        stream.id + "\r\n\r\n";
    send(socket, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_MORE);
    sendToken(socket);
}

void TokenUpstream::sendToken(int socket)
{
    const auto it = m_streams.find(socket);
    if (it == m_streams.end())
        return;
    auto &stream = it->second;
    const auto now = std::chrono::steady_clock::now();
    std::string text;
    if (stream.sent < m_tokens) {
        text = chunk(fmt::format(
                R"(data: {{"id":"{}","object":"chat.completion.chunk","model":"m","choices":)"
                R"([{{"index":0,"delta":{{"content":"@{:020}"}},"finish_reason":null}}]}})"
                "\n\n",
                stream.id, now.time_since_epoch().count()));
        ++stream.sent;
        m_due.emplace(now + m_gap, socket);
    } else {
        text = chunk(fmt::format(R"(data: {{"id":"{}","choices":[{{"index":0,"delta":{{}},)"
                                 R"("finish_reason":"stop"}}],"usage":{{"prompt_tokens":1,)"
                                 R"("completion_tokens":{}}}}})"
                                 "\n\ndata: [DONE]\n\n",
                                 stream.id, stream.sent)) +
               "0\r\n\r\n";
    }
    send(socket, text.data(), text.size(), MSG_NOSIGNAL);
}

} // namespace hawthornslip::bench
