#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace hawthornslip::crowds {

/** What a misbehaving peer sends: a beginning, then a repeated piece. */
struct Pattern
{
    std::string prefix;
    std::string piece = {};
    /** Bytes of repeated pieces after the prefix. */
    std::size_t repeatedBytes = 0;
    /** Reads nothing, so that what the other side sends fills its buffers. */
    bool isDeaf = false;
};

/** Sends a pattern on a connection, then holds the connection open. */
class PatternSender : public std::enable_shared_from_this<PatternSender>
{
public:
    PatternSender(boost::asio::ip::tcp::socket socket, const Pattern &pattern);

    /** Connects to @p endpoint, then sends. */
    void connect(const boost::asio::ip::tcp::endpoint &endpoint);
    /** Sends on the connected socket. */
    void start();
    void close();

    /** @return bytes sent so far, which no longer grow once the other side stops reading. */
    std::uint64_t sentBytes() const { return m_sent; }
    /** @return true when all was sent or the connection was closed. */
    bool isDone() const { return m_isDone; }
    /** @return true when all was sent. */
    bool isSent() const { return m_isSent; }
    /** @return the beginning of what the other side has sent. */
    const std::string &received() const { return m_received; }

private:
    void sendNext();
    void readNext();

    boost::asio::ip::tcp::socket m_socket;
    Pattern m_pattern;
    std::string m_block;
    std::size_t m_left = 0;
    bool m_isSent = false;
    bool m_isDone = false;
    std::uint64_t m_sent = 0;
    std::string m_received;
    std::array<char, 4096> m_buffer{};
};

} // namespace hawthornslip::crowds
