#pragma once

#include <time.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <thread>

namespace hawthornslip::bench {

/** An upstream that streams tokens at fixed times; each token carries the time it was sent. */
class TokenUpstream
{
public:
    /**
     * @param tokens tokens of each answer.
     * @param gap time between two tokens.
     */
    TokenUpstream(int tokens, std::chrono::microseconds gap);
    ~TokenUpstream();

    TokenUpstream(const TokenUpstream &) = delete;
    TokenUpstream &operator=(const TokenUpstream &) = delete;

    std::uint16_t port() const { return m_port; }

    /** @return the clock of the processor time that the upstream's thread used. */
    clockid_t cpuClock();

private:
    using Time = std::chrono::steady_clock::time_point;
    struct Stream
    {
        std::string input;
        std::string id;
        int sent = 0;
    };

    void runLoop();
    void accept();
    void receive(int socket);
    void sendToken(int socket);

    const int m_tokens;
    const std::chrono::microseconds m_gap;
    int m_listen = -1;
    int m_epoll = -1;
    std::uint16_t m_port = 0;
    std::map<int, Stream> m_streams;
    std::multimap<Time, int> m_due;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace hawthornslip::bench
