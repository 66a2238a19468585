#include "tests/crowds/raw_worker.h"

#include <boost/asio/read_until.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <utility>

namespace hawthornslip::crowds {

namespace {

using boost::system::error_code;

constexpr std::string_view kIdHeader = "X-Hawthornslip-Attempt-Id: ";
constexpr std::string_view kLengthHeader = "Content-Length: ";
constexpr std::size_t kMaxHeadBytes = 64 << 10;

std::string headerOf(const std::string &head, std::string_view name)
{
    // The gateway forwards names in the case of its own or in lower case.
    std::string lower(name);
    for (char &it : lower)
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    for (const auto &it : {std::string(name), lower}) {
        const auto at = head.find("\r\n" + it);
        if (at != std::string::npos) {
            const auto begin = at + 2 + it.size();
            return head.substr(begin, head.find("\r\n", begin) - begin);
        }
    }
    return "";
}

} // namespace

/** One connection of the gateway, which carries one request. */
class RawWorker::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(RawWorker &worker, boost::asio::ip::tcp::socket socket)
        : m_worker(worker)
        , m_socket(std::move(socket))
    {}

    void start()
    {
        boost::asio::async_read_until(
                m_socket, boost::asio::dynamic_buffer(m_in, kMaxHeadBytes), "\r\n\r\n",
                [self = shared_from_this()](const error_code &ec, std::size_t n) {
                    if (!ec)
                        self->onHead(n);
                });
    }

private:
    void onHead(std::size_t size)
    {
        m_head = m_in.substr(0, size);
        const std::size_t length =
                std::strtoull(headerOf(m_head, kLengthHeader).c_str(), nullptr, 10);
        const std::size_t arrived = m_in.size() - size;
        m_left = length > arrived ? length - arrived : 0;
        readBody();
    }

    void readBody()
    {
        if (m_left == 0) {
            answer();
            return;
        }
        m_socket.async_read_some(boost::asio::buffer(m_buffer),
                                 [self = shared_from_this()](const error_code &ec, std::size_t n) {
                                     self->m_left -= std::min(n, self->m_left);
                                     if (!ec)
                                         self->readBody();
                                 });
    }

    void answer()
    {
        ++m_worker.m_requests;
        Pattern pattern;
        pattern.prefix = "Content-Length: 4\r\n\r\ndone";
        const std::string path = m_head.substr(0, m_head.find("\r\n"));
        for (const auto &[word, it] : m_worker.m_patterns) {
            if (path.find(word) != std::string::npos)
                pattern = it;
        }
        pattern.prefix =
                fmt::format("HTTP/1.1 200 OK\r\n{}{}\r\n"
                            "X-Hawthornslip-Response-Stamp: crowd.w\r\nConnection: close\r\n{}",
                            kIdHeader, headerOf(m_head, kIdHeader), pattern.prefix);
        const auto sender = std::make_shared<PatternSender>(std::move(m_socket), pattern);
        m_worker.m_senders.push_back(sender);
        sender->start();
    }

    RawWorker &m_worker;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_in;
    std::string m_head;
    std::size_t m_left = 0;
    std::array<char, 32 << 10> m_buffer{};
};

RawWorker::RawWorker(AsioEventLoop &loop)
    : m_loop(loop)
    , m_acceptor(loop.context())
{}

std::uint16_t RawWorker::start()
{
    m_acceptor = {m_loop.context(), {boost::asio::ip::address_v4::loopback(), 0}};
    accept();
    return m_acceptor.local_endpoint().port();
}

std::uint64_t RawWorker::sentBytes() const
{
    std::uint64_t sum = 0;
    for (const auto &it : m_senders)
        sum += it->sentBytes();
    return sum;
}

void RawWorker::accept()
{
    m_acceptor.async_accept([this](const error_code &ec, boost::asio::ip::tcp::socket socket) {
        if (ec)
            return;
        std::make_shared<Session>(*this, std::move(socket))->start();
        accept();
    });
}

} // namespace hawthornslip::crowds
