#include "tests/crashes/worker_port.h"

#include "tests/soak/gateway_process_runner.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace hawthornslip::crashes {

namespace {

constexpr int kBacklog = 128;
// More than a backlog of zero takes.
constexpr int kFillers = 3;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

} // namespace

WorkerPort::WorkerPort(const CrashRow &row, SharedLog &log, std::uint64_t seed)
    : m_row(row)
    , m_log(log)
    , m_seed(seed)
    , m_port(soak::reservePort())
{}

WorkerPort::~WorkerPort()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    closeHeld();
    if (m_listener >= 0)
        close(m_listener);
}

void WorkerPort::start(const std::string &id)
{
    closeHeld();
    if (m_listener < 0)
        openListener();
    listen(m_listener, kBacklog);
    m_id = id;
    m_pid = startWorkerProcess(m_listener, m_row, id, ++m_seed, m_log);
    if (m_row.port == PortAfter::Nobody)
        close(std::exchange(m_listener, -1));
}

bool WorkerPort::takeEnd()
{
    if (m_pid <= 0 || waitpid(m_pid, nullptr, WNOHANG) != m_pid)
        return false;
    m_pid = 0;
    if (m_row.port == PortAfter::Full)
        fillBacklog();
    return true;
}

void WorkerPort::keep()
{
    const bool accepts = m_row.port == PortAfter::Silent || m_row.port == PortAfter::Closing;
    if (m_pid > 0 || m_listener < 0 || !accepts)
        return;
    pollfd waiting{m_listener, POLLIN, 0};
    while (poll(&waiting, 1, 0) > 0) {
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            return;
        if (m_row.port == PortAfter::Closing)
            close(fd);
        else
            m_held.push_back(fd);
    }
}

void WorkerPort::openListener()
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(m_port);
    bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
}

void WorkerPort::fillBacklog()
{
    listen(m_listener, 0);
    const sockaddr_in address = loopback(m_port);
    for (int i = 0; i < kFillers; ++i) {
        m_held.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        connect(m_held.back(), reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }
}

void WorkerPort::closeHeld()
{
    for (const int it : std::exchange(m_held, {}))
        close(it);
}

} // namespace hawthornslip::crashes
