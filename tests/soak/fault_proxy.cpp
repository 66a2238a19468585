#include "tests/soak/fault_proxy.h"

#include <boost/asio/write.hpp>

#include <array>
#include <deque>
#include <string>

namespace hawthornslip::soak {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

} // namespace

/** The two connections of one client. */
class FaultProxy::Pair : public std::enable_shared_from_this<Pair>
{
public:
    Pair(FaultProxy &proxy, tcp::socket client)
        : m_proxy(proxy)
        , m_alive(proxy.m_alive)
        , m_sides{Side(std::move(client)), Side(tcp::socket(proxy.m_loop.context()))}
    {}

    void start()
    {
        m_sides[1].socket.async_connect({boost::asio::ip::address_v4::loopback(), m_proxy.m_target},
                                        [self = shared_from_this()](const error_code &ec) {
                                            if (ec) {
                                                self->reset();
                                                return;
                                            }
                                            self->read(0);
                                            self->read(1);
                                        });
    }

    void reset()
    {
        for (auto &it : m_sides) {
            error_code ec;
            it.socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
            it.socket.close(ec);
        }
    }

private:
    struct Side
    {
        explicit Side(tcp::socket connection)
            : socket(std::move(connection))
        {}
        tcp::socket socket;
        std::array<char, 16 << 10> buffer{};
        std::deque<std::string> out;
        bool closeAfter = false;
    };

    void read(std::size_t from)
    {
        m_sides[from].socket.async_read_some(
                boost::asio::buffer(m_sides[from].buffer),
                [self = shared_from_this(), from](const error_code &ec, std::size_t n) {
                    self->onRead(from, ec, n);
                });
    }

    void onRead(std::size_t from, const error_code &ec, std::size_t n)
    {
        if (!*m_alive)
            return;
        const bool silent = from == 0 ? m_proxy.m_silentForward : m_proxy.m_silentBack;
        if (ec && ec != boost::asio::error::eof) {
            if (!silent)
                reset();
            return;
        }
        std::string bytes(m_sides[from].buffer.data(), n);
        const std::size_t to = 1 - from;
        if (!silent) {
            m_proxy.m_loop.after(m_proxy.m_delay, [self = shared_from_this(), to, ec,
                                                   bytes = std::move(bytes)]() mutable {
                self->push(to, std::move(bytes), bool(ec));
            });
        }
        if (!ec)
            read(from);
    }

    void push(std::size_t to, std::string bytes, bool isLast)
    {
        Side &side = m_sides[to];
        side.closeAfter = side.closeAfter || isLast;
        const bool idle = side.out.empty();
        side.out.push_back(std::move(bytes));
        if (idle)
            writeNext(to);
    }

    void writeNext(std::size_t to)
    {
        Side &side = m_sides[to];
        boost::asio::async_write(
                side.socket, boost::asio::buffer(side.out.front()),
                [self = shared_from_this(), to](const error_code &ec, std::size_t) {
                    self->onWritten(to, ec);
                });
    }

    void onWritten(std::size_t to, const error_code &ec)
    {
        if (ec) {
            reset();
            return;
        }
        Side &side = m_sides[to];
        side.out.pop_front();
        if (!side.out.empty()) {
            writeNext(to);
            return;
        }
        error_code ignored;
        if (side.closeAfter)
            side.socket.shutdown(tcp::socket::shutdown_send, ignored);
    }

    FaultProxy &m_proxy;
    std::shared_ptr<bool> m_alive;
    std::array<Side, 2> m_sides;
};

FaultProxy::FaultProxy(AsioEventLoop &loop, std::uint16_t target)
    : m_loop(loop)
    , m_target(target)
    , m_acceptor(loop.context())
{}

FaultProxy::~FaultProxy()
{
    *m_alive = false;
    error_code ec;
    m_acceptor.close(ec);
    resetAll();
}

std::uint16_t FaultProxy::start()
{
    m_acceptor.open(tcp::v4());
    m_acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen();
    accept();
    return m_acceptor.local_endpoint().port();
}

void FaultProxy::resetAll()
{
    for (const auto &it : std::exchange(m_pairs, {})) {
        if (const auto pair = it.lock())
            pair->reset();
    }
}

void FaultProxy::accept()
{
    m_acceptor.async_accept([this, alive = m_alive](const error_code &ec, tcp::socket socket) {
        if (!*alive || ec)
            return;
        const auto pair = std::make_shared<Pair>(*this, std::move(socket));
        std::erase_if(m_pairs, [](const auto &it) { return it.expired(); });
        m_pairs.push_back(pair);
        pair->start();
        accept();
    });
}

} // namespace hawthornslip::soak
