#include "tests/crowds/pattern_sender.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace hawthornslip::crowds {

namespace {

using boost::system::error_code;

constexpr std::size_t kBlockBytes = 32 << 10;
constexpr std::size_t kMaxKeptBytes = 512;
// Keeps the buffers of the system small, so that the bytes stay in the process under test.
constexpr int kDeafReceiveBytes = 4096;

} // namespace

PatternSender::PatternSender(boost::asio::ip::tcp::socket socket, const Pattern &pattern)
    : m_socket(std::move(socket))
    , m_pattern(pattern)
    , m_left(pattern.repeatedBytes)
{
    while (!m_pattern.piece.empty() && m_block.size() < kBlockBytes)
        m_block += m_pattern.piece;
}

void PatternSender::connect(const boost::asio::ip::tcp::endpoint &endpoint)
{
    error_code ec;
    m_socket.open(endpoint.protocol(), ec);
    if (m_pattern.isDeaf)
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(kDeafReceiveBytes), ec);
    m_socket.async_connect(endpoint, [self = shared_from_this()](const error_code &error) {
        if (error)
            self->m_isDone = true;
        else
            self->start();
    });
}

void PatternSender::start()
{
    if (!m_pattern.isDeaf)
        readNext();
    boost::asio::async_write(m_socket, boost::asio::buffer(m_pattern.prefix),
                             [self = shared_from_this()](const error_code &ec, std::size_t n) {
                                 self->m_sent += n;
                                 self->m_isDone = self->m_isDone || ec;
                                 self->sendNext();
                             });
}

void PatternSender::close()
{
    error_code ec;
    m_socket.close(ec);
    m_isDone = true;
}

void PatternSender::sendNext()
{
    if (m_isDone)
        return;
    const std::size_t size = std::min(m_block.size(), m_left);
    if (size == 0) {
        m_isSent = true;
        m_isDone = true;
        return;
    }
    m_left -= size;
    boost::asio::async_write(m_socket, boost::asio::buffer(std::as_const(m_block), size),
                             [self = shared_from_this()](const error_code &ec, std::size_t n) {
                                 self->m_sent += n;
                                 self->m_isDone = self->m_isDone || ec;
                                 self->sendNext();
                             });
}

void PatternSender::readNext()
{
    m_socket.async_read_some(boost::asio::buffer(m_buffer),
                             [self = shared_from_this()](const error_code &ec, std::size_t n) {
                                 if (ec) {
                                     self->m_isDone = true;
                                     return;
                                 }
                                 const std::size_t room =
                                         kMaxKeptBytes -
                                         std::min(kMaxKeptBytes, self->m_received.size());
                                 self->m_received.append(self->m_buffer.data(), std::min(n, room));
                                 self->readNext();
                             });
}

} // namespace hawthornslip::crowds
