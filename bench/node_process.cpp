#include "bench/node_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <stdexcept>
#include <thread>

extern char **environ;

namespace hawthornslip::bench {

namespace {

constexpr int kSignalBase = 128;
constexpr double kMicrosPerSecond = 1e6;
constexpr std::uint64_t kBytesPerKiB = 1024;
constexpr Duration kPoll = milliseconds(5);

double secondsOf(const timeval &time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / kMicrosPerSecond;
}

} // namespace

NodeProcess::NodeProcess(const std::string &binary, const std::string &settingsFile,
                         const std::string &logFile)
{
    constexpr mode_t kLogMode = 0644;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, kLogMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string arguments[] = {binary, "serve", "--settings", settingsFile};
    char *argv[] = {arguments[0].data(), arguments[1].data(), arguments[2].data(),
                    arguments[3].data(), nullptr};
    const int result = posix_spawn(&m_pid, binary.c_str(), &actions, nullptr, argv, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0)
        throw std::runtime_error(binary + " cannot be started");
}

NodeProcess::~NodeProcess()
{
    if (running()) {
        signal(SIGKILL);
        reap(true);
    }
}

void NodeProcess::signal(int number)
{
    if (running())
        ::kill(m_pid, number);
}

void NodeProcess::kill()
{
    m_killed = true;
    signal(SIGKILL);
}

bool NodeProcess::running()
{
    return m_status < 0 && !reap(false);
}

bool NodeProcess::reap(bool block)
{
    int status = 0;
    rusage usage{};
    if (wait4(m_pid, &status, block ? 0 : WNOHANG, &usage) != m_pid)
        return false;
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
    m_cpuSeconds = secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime);
    m_peakBytes = static_cast<std::uint64_t>(usage.ru_maxrss) * kBytesPerKiB;
    return true;
}

bool NodeProcess::wait(Duration timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (running()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(kPoll);
    }
    return true;
}

} // namespace hawthornslip::bench
