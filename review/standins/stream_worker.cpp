#include "review/standins/stream_worker.h"

#include "core/ascii.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <map>
#include <optional>
#include <thread>

namespace hawthornslip::review {

namespace {

constexpr auto kFirstEventAfter = std::chrono::milliseconds(36);
constexpr auto kEventPause = std::chrono::milliseconds(25);
constexpr int kBacklog = 128;

std::atomic<int> answers{0};

using Headers = std::map<std::string, std::string>;

/** Reads the head and the body of a request. @return nothing when the connection has ended. */
std::optional<Headers> readRequest(int socket)
{
    std::string in;
    char buffer[4096];
    std::size_t end = std::string::npos;
    std::size_t left = 0;
    Headers headers;
    for (;;) {
        if (headers.empty() && (end = in.find("\r\n\r\n")) != std::string::npos) {
            for (std::size_t at = in.find("\r\n") + 2; at < end + 2;) {
                const auto lineEnd = in.find("\r\n", at);
                const auto colon = in.find(": ", at);
                headers[toLowerAscii(in.substr(at, colon - at))] =
                        in.substr(colon + 2, lineEnd - colon - 2);
                at = lineEnd + 2;
            }
            left = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
        }
        if (!headers.empty() && in.size() >= end + 4 + left)
            return headers;
        const auto n = recv(socket, buffer, sizeof buffer, 0);
        if (n <= 0)
            return std::nullopt;
        in.append(buffer, static_cast<std::size_t>(n));
    }
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/** Writes a line for a run; each is one write, so that lines of several processes don't mix. */
void recordRun(const StreamWorkerOptions &options, const std::string &attempt, bool isUnframed,
               const std::string &lastEventId)
{
    constexpr std::int64_t kMicrosPerSecond = 1'000'000;
    constexpr std::int64_t kPerMilli = 1000;
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const std::int64_t micros = now.tv_sec * kMicrosPerSecond + now.tv_nsec / kPerMilli;
    const std::string line =
            fmt::format("{:8} ms  run {} at {} from event {}{}\n",
                        (micros - options.recordStart) / kPerMilli, attempt, options.id,
                        lastEventId.empty() ? "0" : lastEventId, isUnframed ? ", no length" : "");
    const int file = open(options.recordPath.c_str(), O_WRONLY | O_APPEND);
    if (file >= 0 && write(file, line.data(), line.size()) < 0)
        perror("record");
    close(file);
}

bool answer(int socket, Headers headers, const StreamWorkerOptions &options)
{
    const std::string attempt = headers["x-hawthornslip-attempt-id"];
    if (headers["x-hawthornslip-expect-instance"] != options.id)
        return sendAll(socket, fmt::format("HTTP/1.1 421 Misdirected Request\r\n"
                                           "X-Hawthornslip-Attempt-Id: {}\r\n"
                                           "X-Hawthornslip-Not-Executed: 1\r\n"
                                           "Content-Length: 0\r\n\r\n",
                                           attempt));
    const bool isUnframed = answers++ % kUnframedEach == 0;
    const std::string last = headers["last-event-id"];
    recordRun(options, attempt, isUnframed, last);
    std::string out = fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                  "X-Hawthornslip-Attempt-Id: {0}\r\n"
                                  "X-Hawthornslip-Response-Stamp: stamp-{0}-{1}\r\n{2}\r\n\r\n",
                                  attempt, isUnframed ? "unframed" : "chunked",
                                  isUnframed ? "Connection: close" : "Transfer-Encoding: chunked");
    std::this_thread::sleep_for(kFirstEventAfter);
    for (auto n = last.empty() ? 1 : std::stoull(last) + 1; n <= kStreamEvents; ++n) {
        const std::string event = fmt::format("id: {}\ndata: {}\n\n", n, attempt);
        out += isUnframed ? event : fmt::format("{:x}\r\n{}\r\n", event.size(), event);
        if (!sendAll(socket, out))
            return false;
        out.clear();
        std::this_thread::sleep_for(kEventPause);
    }
    if (isUnframed)
        return false;
    return sendAll(socket, out + "0\r\n\r\n");
}

void serve(int socket, const StreamWorkerOptions &options)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    while (const auto headers = readRequest(socket)) {
        if (!answer(socket, *headers, options))
            break;
    }
    close(socket);
}

} // namespace

void runStreamWorker(const StreamWorkerOptions &options)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 ||
        listen(listener, kBacklog) != 0)
        return;
    for (;;) {
        const int socket = accept(listener, nullptr, nullptr);
        if (socket >= 0)
            std::thread([socket, options] { serve(socket, options); }).detach();
    }
}

} // namespace hawthornslip::review
