#include "drivers/asio/asio_connection_probe.h"

#include "drivers/asio/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <utility>

namespace hawthornslip {

namespace {

using boost::system::error_code;

} // namespace

/** One connection with one question. */
class AsioConnectionProbe::Call : public std::enable_shared_from_this<Call>
{
public:
    Call(AsioConnectionProbe &probe, std::function<void(ProbeResult)> done)
        : m_loop(probe.m_loop)
        , m_timeout(probe.m_timeout)
        , m_question(probe.m_question)
        , m_socket(probe.m_loop.context())
        , m_done(std::move(done))
    {}

    void start(const std::string &address)
    {
        m_timer = m_loop.after(m_timeout, [self = shared_from_this()] {
            self->m_timer = 0;
            self->finish(self->m_isConnected ? ProbeResult::Unanswered : ProbeResult::Silent);
        });
        m_socket.async_connect(parseEndpoint(address), [self = shared_from_this()](
                                                               const error_code &ec) {
            if (!ec)
                self->ask();
            else
                self->finish(ec == boost::asio::error::connection_refused ? ProbeResult::Refused
                                                                          : ProbeResult::Silent);
        });
    }

private:
    void ask()
    {
        m_isConnected = true;
        boost::asio::async_write(m_socket, boost::asio::buffer(m_question),
                                 [self = shared_from_this()](const error_code &ec, std::size_t) {
                                     if (ec)
                                         self->finish(ProbeResult::Unanswered);
                                 });
        m_socket.async_read_some(boost::asio::buffer(m_answer),
                                 [self = shared_from_this()](const error_code &ec, std::size_t) {
                                     self->finish(ec ? ProbeResult::Unanswered
                                                     : ProbeResult::Answered);
                                 });
    }

    void finish(ProbeResult result)
    {
        const auto done = std::exchange(m_done, nullptr);
        m_loop.cancel(std::exchange(m_timer, 0));
        error_code ignored;
        m_socket.close(ignored);
        if (done)
            done(result);
    }

    AsioEventLoop &m_loop;
    Duration m_timeout;
    std::string m_question;
    boost::asio::ip::tcp::socket m_socket;
    std::function<void(ProbeResult)> m_done;
    TimerId m_timer = 0;
    bool m_isConnected = false;
    std::array<char, 256> m_answer{};
};

void AsioConnectionProbe::probe(const std::string &address, std::function<void(ProbeResult)> done)
{
    std::make_shared<Call>(*this, std::move(done))->start(address);
}

} // namespace hawthornslip
