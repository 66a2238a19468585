#include "tests/crashes/worker_process.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <new>
#include <random>
#include <set>
#include <string_view>
#include <thread>

namespace hawthornslip::crashes {

namespace {

constexpr int kEvents = 5;
constexpr auto kPrefill = std::chrono::milliseconds(40);
constexpr auto kEventPause = std::chrono::milliseconds(40);
constexpr auto kLateExit = std::chrono::milliseconds(300);

/** The upstream inside the child process: one thread a connection. */
class Worker
{
public:
    Worker(int listener, CrashRow row, std::string id, std::uint64_t seed, SharedLog &log)
        : m_listener(listener)
        , m_row(std::move(row))
        , m_id(std::move(id))
        , m_random(seed)
        , m_log(log)
    {}

    [[noreturn]] void serve()
    {
        for (;;) {
            const int fd = accept(m_listener, nullptr, nullptr);
            if (fd < 0)
                continue;
            const std::lock_guard lock(m_mutex);
            m_open.insert(fd);
            std::thread([this, fd] { serveConnection(fd); }).detach();
        }
    }

private:
    void serveConnection(int fd)
    {
        while (serveRequest(fd)) {
        }
        const std::lock_guard lock(m_mutex);
        m_open.erase(fd);
        close(fd);
    }

    /** @return true if the connection may carry another request. */
    bool serveRequest(int fd)
    {
        const std::string head = readHead(fd);
        if (head.empty())
            return false;
        const std::string request = headerOf(head, "x-hawthornslip-attempt-id");
        if (headerOf(head, "x-hawthornslip-expect-instance") != m_id)
            return write(fd, fmt::format("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
                                         "X-Hawthornslip-Attempt-Id: {}\r\n"
                                         "X-Hawthornslip-Not-Executed: 1\r\n\r\n",
                                         request));
        const std::string prompt = headerOf(head, "x-hawthornslip-prefix-hash");
        const bool isDeadly = prompt.find(",dead:") != std::string::npos;
        if (isDeadly)
            m_log.arrivedAtUs.at(m_log.arrivals.fetch_add(1)) = sharedNowUs();
        else
            ++m_log.soundArrivals;
        std::this_thread::sleep_for(kPrefill);
        if (isDeadly || drawsCut()) {
            write(fd, beginning(request));
            end(fd);
            return false;
        }
        return stream(fd, request, headerOf(head, "last-event-id"));
    }

    bool stream(int fd, const std::string &request, const std::string &last)
    {
        const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        if (!write(fd, headOf(request)))
            return false;
        for (int i = first; i <= kEvents; ++i) {
            if (!write(fd, framed(eventOf(i))))
                return false;
            std::this_thread::sleep_for(kEventPause);
        }
        if (m_row.framing == Framing::Chunks)
            return write(fd, "0\r\n\r\n");
        return m_row.framing == Framing::Length;
    }

    /** @return what is written of the answer to a deadly request. */
    std::string beginning(const std::string &request) const
    {
        const std::string head = headOf(request);
        const std::string event = eventOf(1);
        switch (m_row.progress) {
        case Progress::Nothing:
            return "";
        case Progress::PartOfHead:
            return head.substr(0, head.size() / 2);
        case Progress::Head:
            return head;
        case Progress::PartOfEvent:
            return head + framed(event.substr(0, event.size() / 2));
        case Progress::OneEvent:
            return head + framed(event);
        case Progress::TwoEventsAtOnce:
            return head + framed(event) + framed(eventOf(2));
        }
        return head;
    }

    void end(int fd)
    {
        if (m_row.ending == Ending::CutOne) {
            reset(fd);
            return;
        }
        // Held until the end of the process, so that a second thread doesn't race with it.
        m_mutex.lock();
        if (m_row.ending == Ending::Reset)
            std::for_each(m_open.begin(), m_open.end(), reset);
        if (m_row.ending == Ending::LateExit) {
            for (const int it : m_open)
                shutdown(it, SHUT_RDWR);
            std::this_thread::sleep_for(kLateExit);
        }
        if (m_row.ending == Ending::Abort)
            std::abort();
        _exit(1);
    }

    static void reset(int fd)
    {
        const linger now{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }

    bool drawsCut()
    {
        const std::lock_guard lock(m_mutex);
        return std::uniform_real_distribution<double>(0, 1)(m_random) < m_row.cutSound;
    }

    static std::string eventOf(int number) { return fmt::format("id: {}\ndata: word\n\n", number); }

    std::string framed(const std::string &text) const
    {
        return m_row.framing == Framing::Chunks ? fmt::format("{:x}\r\n{}\r\n", text.size(), text)
                                                : text;
    }

    std::string headOf(const std::string &request) const
    {
        std::string framing = "Connection: close\r\n";
        if (m_row.framing == Framing::Chunks)
            framing = "Transfer-Encoding: chunked\r\n";
        else if (m_row.framing == Framing::Length)
            framing = fmt::format("Content-Length: {}\r\n", kEvents * eventOf(1).size());
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}"
                           "X-Hawthornslip-Attempt-Id: {}\r\n"
                           "X-Hawthornslip-Response-Stamp: crashes.{}\r\n\r\n",
                           framing, request, m_id);
    }

    static bool write(int fd, std::string_view text)
    {
        return send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(text.size());
    }

    /** @return the head of the next request, whose body was read too; empty at the end. */
    static std::string readHead(int fd)
    {
        constexpr std::string_view kEndOfHead = "\r\n\r\n";
        std::string text;
        std::array<char, 4096> buffer{};
        for (;;) {
            const auto at = text.find(kEndOfHead);
            const std::size_t length =
                    at == std::string::npos
                            ? 0
                            : std::strtoull(headerOf(text, "content-length").c_str(), nullptr, 10);
            if (at != std::string::npos && text.size() >= at + kEndOfHead.size() + length)
                return text.substr(0, at + 2);
            const auto n = recv(fd, buffer.data(), buffer.size(), 0);
            if (n <= 0)
                return "";
            text.append(buffer.data(), static_cast<std::size_t>(n));
        }
    }

    static std::string headerOf(const std::string &head, const std::string &name)
    {
        std::string lower = head;
        std::transform(lower.begin(), lower.end(), lower.begin(),
                       [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
        const auto at = lower.find("\r\n" + name + ":");
        if (at == std::string::npos)
            return "";
        const auto begin = head.find_first_not_of(' ', at + name.size() + 3);
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    int m_listener;
    CrashRow m_row;
    std::string m_id;
    std::mt19937_64 m_random;
    SharedLog &m_log;
    std::mutex m_mutex;
    std::set<int> m_open;
};

} // namespace

SharedLog *makeSharedLog()
{
    void *place = mmap(nullptr, sizeof(SharedLog), PROT_READ | PROT_WRITE,
                       MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    return place == MAP_FAILED ? nullptr : new (place) SharedLog;
}

std::int64_t sharedNowUs()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

pid_t startWorkerProcess(int listener, const CrashRow &row, const std::string &id,
                         std::uint64_t seed, SharedLog &log)
{
    const pid_t pid = fork();
    if (pid != 0)
        return pid;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const rlimit noCore{0, 0};
    setrlimit(RLIMIT_CORE, &noCore);
    std::signal(SIGABRT, SIG_DFL);
    // The connections of the parent must end with the parent.
    constexpr int kListener = 3;
    dup2(listener, kListener);
    close_range(kListener + 1, ~0U, 0);
    Worker(kListener, row, id, seed, log).serve();
}

} // namespace hawthornslip::crashes
