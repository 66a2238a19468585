#include "drivers/asio/socket_options.h"
#include "drivers/asio/upstream_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <utility>

/** The part of a connection that writes requests. */
namespace hawthornslip {

namespace {

using boost::system::error_code;

// A smaller body is sent in one buffer with its head.
constexpr std::size_t kLargeBodyBytes = 16 << 10;

} // namespace

void UpstreamConnection::connect()
{
    const auto endpoint = parseEndpoint(m_address);
    error_code ec;
    m_socket.open(boost::asio::ip::tcp::v4(), ec);
    if (ec || endpoint.port() == 0) {
        const std::string message = ec ? ec.message() : "no valid address";
        boost::asio::post(m_client.m_loop.context(), [self = shared_from_this(), message] {
            self->finish(UpstreamResult::ConnectFailed, message);
        });
        return;
    }
    configureSocket(m_socket, m_client.m_silence);
    m_socket.async_connect(endpoint, [self = shared_from_this()](const error_code &error) {
        if (self->m_closed)
            return;
        if (error)
            self->finish(UpstreamResult::ConnectFailed, error.message());
        else
            self->onConnected();
    });
}

void UpstreamConnection::onConnected()
{
    m_connected = true;
    m_client.m_loop.cancel(std::exchange(m_connectTimer, 0));
    writeMessage();
}

void UpstreamConnection::buildMessage(const std::string &target)
{
    m_out.clear();
    auto out = std::back_inserter(m_out);
    fmt::format_to(out, "{} {} HTTP/1.1\r\n", m_request.method, target);
    for (const auto &[name, value] : m_request.headers)
        fmt::format_to(out, "{}: {}\r\n", name, value);
    const std::string_view body = m_request.content();
    if (!body.empty() || (m_request.method != "GET" && m_request.method != "HEAD"))
        fmt::format_to(out, "Content-Length: {}\r\n", body.size());
    m_out += "\r\n";
    m_largeBody = body.size() >= kLargeBodyBytes ? body : std::string_view();
    if (m_largeBody.empty())
        m_out += body;
}

void UpstreamConnection::writeMessage()
{
    error_code ec;
    const std::size_t size = m_out.size() + m_largeBody.size();
    const std::array<boost::asio::const_buffer, 2> rest = {
            boost::asio::buffer(m_out) + m_written,
            boost::asio::buffer(m_largeBody) + (m_written - std::min(m_written, m_out.size()))};
    const std::size_t n = m_written == size ? 0 : m_socket.write_some(rest, ec);
    if (ec && ec != boost::asio::error::would_block) {
        // An early answer may be there to read although the back end takes no more of the body.
        waitReadable();
        m_closing = true;
        return;
    }
    m_written += ec ? 0 : n;
    waitReadable();
    if (m_written == size)
        return;
    m_socket.async_wait(boost::asio::socket_base::wait_write,
                        [self = shared_from_this(), call = m_call](const error_code &error) {
                            if (!error && call == self->m_call && self->m_handler)
                                self->writeMessage();
                        });
}

} // namespace hawthornslip
