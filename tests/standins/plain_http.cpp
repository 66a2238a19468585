#include "tests/standins/plain_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

namespace hawthornslip::standin {

namespace {

constexpr std::size_t kReadBytes = 16 << 10;
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

std::string wireText(const PlainRequest &request)
{
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" +
                       "Connection: close\r\n";
    for (const auto &[name, value] : request.headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" +
           request.body;
}

/** @return the content of chunks, or nothing when the last one is missing. */
std::optional<std::string> joinChunks(const std::string &raw)
{
    std::string body;
    for (std::size_t at = 0;;) {
        const auto lineEnd = raw.find("\r\n", at);
        if (lineEnd == std::string::npos)
            return std::nullopt;
        const auto size = std::strtoul(raw.c_str() + at, nullptr, 16);
        if (size == 0)
            return body;
        body += raw.substr(lineEnd + 2, size);
        at = lineEnd + 2 + size + 2;
        if (at > raw.size())
            return std::nullopt;
    }
}

std::optional<PlainAnswer> parseAnswer(const std::string &raw)
{
    const auto headEnd = raw.find(kHeaderEnd);
    if (headEnd == std::string::npos)
        return std::nullopt;
    PlainAnswer answer;
    answer.status = std::atoi(raw.c_str() + raw.find(' '));
    for (auto at = raw.find("\r\n") + 2; at < headEnd;) {
        const auto end = raw.find("\r\n", at);
        const auto colon = raw.find(": ", at);
        std::string name = raw.substr(at, colon - at);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        answer.headers[name] = raw.substr(colon + 2, end - colon - 2);
        at = end + 2;
    }
    const std::string body = raw.substr(headEnd + kHeaderEnd.size());
    if (answer.headers.count("transfer-encoding") > 0) {
        const auto joined = joinChunks(body);
        if (!joined)
            return std::nullopt;
        answer.body = *joined;
        return answer;
    }
    const auto length = std::strtoul(answer.headers["content-length"].c_str(), nullptr, 10);
    if (body.size() < length)
        return std::nullopt;
    answer.body = body;
    return answer;
}

} // namespace

PlainConnection::PlainConnection(std::uint16_t port, const PlainRequest &request)
{
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        close();
        return;
    }
    const std::string text = wireText(request);
    for (std::size_t sent = 0; sent < text.size();) {
        const auto n = send(m_socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return;
        sent += static_cast<std::size_t>(n);
    }
}

PlainConnection::~PlainConnection()
{
    close();
}

void PlainConnection::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

bool PlainConnection::readPiece(Duration timeout)
{
    if (m_socket < 0)
        return false;
    pollfd entry{m_socket, POLLIN, 0};
    if (poll(&entry, 1, static_cast<int>(toMillis(timeout))) <= 0)
        return false;
    std::array<char, kReadBytes> buf{};
    const auto n = recv(m_socket, buf.data(), buf.size(), 0);
    if (n <= 0)
        return false;
    m_raw.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

bool PlainConnection::readUntil(const std::string &text, Duration timeout)
{
    while (m_raw.find(text) == std::string::npos) {
        if (!readPiece(timeout))
            return false;
    }
    return true;
}

std::optional<PlainAnswer> PlainConnection::readAll(Duration timeout)
{
    while (readPiece(timeout)) {
    }
    return parseAnswer(m_raw);
}

std::optional<PlainAnswer> plainHttp(std::uint16_t port, const PlainRequest &request,
                                     Duration timeout)
{
    PlainConnection connection(port, request);
    return connection.readAll(timeout);
}

} // namespace hawthornslip::standin
