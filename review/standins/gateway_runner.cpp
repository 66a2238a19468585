#include "review/standins/gateway_runner.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <utility>

namespace hawthornslip::review {

namespace {

// From deploy/system.toml.
constexpr const char *kProgram = "target/hawthornslip";
constexpr const char *kRole = "gateway";
constexpr const char *kSettingsVariable = "HAWTHORNSLIP_NODE_FILE";

} // namespace

GatewayRunner::GatewayRunner(std::string folder, std::size_t index, std::uint16_t storePort)
    : m_folder(std::move(folder))
    , m_index(index)
    , m_store(storePort)
    , m_callers(freePort())
    , m_readiness(freePort())
    , m_metrics(freePort())
    , m_peers(freePort())
{
    writeSettings();
}

GatewayRunner::~GatewayRunner()
{
    if (!isRunning())
        return;
    signal(SIGCONT);
    signal(SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void GatewayRunner::writeSettings() const
{
    // What deploy/gateway.toml.template gives for the site kdsr, with loopback addresses.
    std::ofstream file(fmt::format("{}/gateway{}.toml", m_folder, m_index));
    file << fmt::format("[node]\nname = \"{}\"\ndomain = \"riga-a\"\n\n"
                        "[listen]\ncallers = \"127.0.0.1:{}\"\nreadiness = \"127.0.0.1:{}\"\n"
                        "metrics = \"127.0.0.1:{}\"\npeers = \"127.0.0.1:{}\"\n\n"
                        "[store]\naddress = \"127.0.0.1:{}\"\n\n"
                        "[limits]\nmax_descriptors = 4100\n\n"
                        "[keys]\nfail_closed = true\nrevoke_within_ms = 5000\n\n"
                        "[upstreams]\ndrain_within_ms = 2000\nheartbeat_ms = 1200\n\n"
                        "[retries]\nratio = 0.2\nwindow_s = 10\n\n[stop]\ngrace_s = 8\n",
                        name(), m_callers, m_readiness, m_metrics, m_peers, m_store);
}

bool GatewayRunner::start()
{
    const std::string settings = fmt::format("{}/gateway{}.toml", m_folder, m_index);
    const std::string log = fmt::format("{}/gateway{}.log", m_folder, m_index);
    m_pid = fork();
    if (m_pid != 0)
        return m_pid > 0;
    // The process ends with the script, whatever ends that.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    closeInherited();
    setenv(kSettingsVariable, settings.c_str(), 1);
    execl(kProgram, kProgram, kRole, nullptr);
    _exit(127);
}

bool GatewayRunner::isRunning()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid > 0;
}

void GatewayRunner::signal(int number) const
{
    if (m_pid > 0)
        kill(m_pid, number);
}

std::string GatewayRunner::name() const
{
    return fmt::format("gateway{}", m_index);
}

void closeInherited()
{
    close_range(STDERR_FILENO + 1, ~0U, 0);
}

std::uint16_t freePort()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(
            context, {boost::asio::ip::address_v4::loopback(), 0}, false);
    return acceptor.local_endpoint().port();
}

} // namespace hawthornslip::review
