#include "tests/soak/gateway_process_runner.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>
#include <vector>

extern char **environ;

namespace hawthornslip::soak {

GatewayProcessRunner::GatewayProcessRunner(std::string binary, std::string folder,
                                           std::size_t index, GatewayPorts ports,
                                           std::string moreSettings)
    : m_binary(std::move(binary))
    , m_folder(std::move(folder))
    , m_index(index)
    , m_ports(ports)
    , m_moreSettings(std::move(moreSettings))
{
    writeSettings();
}

GatewayProcessRunner::~GatewayProcessRunner()
{
    if (!isRunning())
        return;
    signal(SIGCONT);
    signal(SIGKILL);
    waitpid(m_pid, &m_lastStatus, 0);
}

void GatewayProcessRunner::writeSettings() const
{
    const std::string path = fmt::format("{}/gateway{}.toml", m_folder, m_index);
    // A process must not read half a file.
    const std::string draft = path + ".new";
    std::ofstream file(draft);
    file << fmt::format("[node]\nname = \"gateway{}\"\ndomain = \"here\"\nlog_level = \"{}\"\n"
                        "[listen]\ncallers = \"127.0.0.1:{}\"\nreadiness = \"127.0.0.1:{}\"\n"
                        "metrics = \"127.0.0.1:{}\"\npeers = \"127.0.0.1:{}\"\n"
                        "[store]\naddress = \"127.0.0.1:{}\"\n"
                        "[keys]\nfail_closed = true\nrevoke_within_ms = 5000\n"
                        "[upstreams]\ndrain_within_ms = 2000\n"
                        "[retries]\nratio = 0.2\nwindow_s = 10\n[stop]\ngrace_s = 8\n{}",
                        m_index, m_isVerbose ? "debug" : "info", m_ports.callers, m_ports.readiness,
                        m_ports.metrics, m_ports.peers, m_ports.store, m_moreSettings);
    file.close();
    std::filesystem::rename(draft, path);
}

void GatewayProcessRunner::changeLogLevel()
{
    m_isVerbose = !m_isVerbose;
    writeSettings();
}

std::string GatewayProcessRunner::logPath() const
{
    return fmt::format("{}/gateway{}.log", m_folder, m_index);
}

bool GatewayProcessRunner::start()
{
    const std::string settings = fmt::format("{}/gateway{}.toml", m_folder, m_index);
    const std::string log = logPath();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::string command = "gateway";
    std::string option = "--settings";
    std::string path = settings;
    std::array<char *, 5> arguments = {m_binary.data(), command.data(), option.data(), path.data(),
                                       nullptr};
    const int error =
            posix_spawn(&m_pid, m_binary.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        m_pid = 0;
    return error == 0;
}

void GatewayProcessRunner::signal(int number)
{
    if (m_pid != 0)
        kill(m_pid, number);
}

bool GatewayProcessRunner::isRunning()
{
    if (m_pid == 0)
        return false;
    if (waitpid(m_pid, &m_lastStatus, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid != 0;
}

std::uint16_t reservePort()
{
    // A socket that is bound and does not listen keeps the system from giving its port to another
    // process, and lets a gateway listen on it.
    static boost::asio::io_context context;
    static std::vector<boost::asio::ip::tcp::socket> reserved;
    auto &socket = reserved.emplace_back(context, boost::asio::ip::tcp::v4());
    fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
    socket.set_option(boost::asio::socket_base::reuse_address(true));
    socket.bind({boost::asio::ip::address_v4::loopback(), 0});
    return socket.local_endpoint().port();
}

} // namespace hawthornslip::soak
