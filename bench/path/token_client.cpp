#include "bench/path/token_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>

namespace hawthornslip::bench {

namespace {

using Clock = std::chrono::steady_clock;

double micros(Clock::duration span)
{
    return std::chrono::duration<double, std::micro>(span).count();
}

/** One connection with one request after another. */
class Stream
{
public:
    explicit Stream(std::uint16_t port)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address);
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Stream() { close(m_socket); }
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    int socket() const { return m_socket; }

    void sendRequest()
    {
        static const std::string kBody =
                R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]})";
        const std::string request =
                "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-Id: direct\r\n"
                "Authorization: Bearer secret\r\nX-Hawthornslip-Profile: chat\r\n"
                "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(kBody.size()) + "\r\n\r\n" + kBody;
        m_sentAt = Clock::now();
        m_first = true;
        send(m_socket, request.data(), request.size(), MSG_NOSIGNAL);
    }

    /** @return 1 when the answer has ended, 0 when it goes on, -1 when the connection broke. */
    int receive(ClientFigures &figures)
    {
        std::array<char, 65536> room; // not cleared, which would take longer than the read
        const auto n = recv(m_socket, room.data(), room.size(), 0);
        const auto now = Clock::now();
        if (n <= 0)
            return -1;
        // Marks may be cut by the border of two pieces.
        m_tail.append(room.data(), static_cast<std::size_t>(n));
        std::size_t used = 0;
        constexpr std::size_t kMark = 21;
        for (auto at = m_tail.find('@'); at != std::string::npos && at + kMark <= m_tail.size();
             at = m_tail.find('@', used)) {
            std::int64_t sent = 0;
            std::from_chars(m_tail.data() + at + 1, m_tail.data() + at + kMark, sent);
            figures.token.push_back(micros(now.time_since_epoch() - Clock::duration(sent)));
            if (m_first)
                figures.firstByte.push_back(micros(now - m_sentAt));
            m_first = false;
            ++figures.tokens;
            used = at + kMark;
        }
        const bool ended = m_tail.find("0\r\n\r\n", used) != std::string::npos;
        if (ended && m_tail.find("[DONE]") == std::string::npos)
            return -1;
        if (ended)
            m_tail.clear();
        else
            m_tail.erase(0, std::max(used, m_tail.size() > 64 ? m_tail.size() - 64 : 0));
        return ended ? 1 : 0;
    }

private:
    int m_socket;
    Clock::time_point m_sentAt;
    bool m_first = true;
    std::string m_tail;
};

} // namespace

double ClientFigures::quantile(std::vector<double> samples, double q)
{
    if (samples.empty())
        return 0;
    const auto at = static_cast<std::size_t>(q * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(at),
                     samples.end());
    return samples[at];
}

ClientFigures runClient(std::uint16_t port, int streams, std::chrono::milliseconds duration)
{
    ClientFigures figures;
    const int epoll = epoll_create1(EPOLL_CLOEXEC);
    std::vector<std::unique_ptr<Stream>> all;
    const auto start = Clock::now();
    const auto end = start + duration;
    const auto pause = duration / (4 * streams);
    std::array<epoll_event, 256> events{};
    int open = 0;
    while (open > 0 || static_cast<int>(all.size()) < streams) {
        // Spread over the first quarter, so that the streams do not run in step.
        if (static_cast<int>(all.size()) < streams &&
            Clock::now() >= start + pause * static_cast<int>(all.size())) {
            all.push_back(std::make_unique<Stream>(port));
            epoll_event event{};
            event.events = EPOLLIN;
            event.data.ptr = all.back().get();
            epoll_ctl(epoll, EPOLL_CTL_ADD, all.back()->socket(), &event);
            all.back()->sendRequest();
            ++open;
        }
        const int n = epoll_wait(epoll, events.data(), static_cast<int>(events.size()), 1);
        for (int i = 0; i < n; ++i) {
            auto &stream = *static_cast<Stream *>(events[static_cast<std::size_t>(i)].data.ptr);
            const int state = stream.receive(figures);
            if (state == 0)
                continue;
            state > 0 ? ++figures.requests : ++figures.failed;
            if (state > 0 && Clock::now() < end) {
                stream.sendRequest();
            } else {
                epoll_ctl(epoll, EPOLL_CTL_DEL, stream.socket(), nullptr);
                --open;
            }
        }
    }
    figures.seconds = std::chrono::duration<double>(Clock::now() - start).count();
    close(epoll);
    return figures;
}

} // namespace hawthornslip::bench
