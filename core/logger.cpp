#include "core/logger.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace hawthornslip {

namespace {

std::atomic<LogLevel> minimumLevel{LogLevel::Info};

std::atomic<LogOutput> output{LogOutput::StandardError};

/** Lines for standard output that were not written yet. */
class LineBuffer
{
public:
    void add(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        if (m_lines.size() + line.size() > kMaxBytes) {
            ++m_dropped;
            return;
        }
        m_lines += line;
    }

    void flush()
    {
        const std::lock_guard lock(m_mutex);
        appendDroppedCount();
        std::size_t written = 0;
        while (written < m_lines.size() && isWritable()) {
            const std::size_t size = std::min(kMaxWriteBytes, m_lines.size() - written);
            const auto n = ::write(STDOUT_FILENO, m_lines.data() + written, size);
            if (n <= 0)
                break;
            written += static_cast<std::size_t>(n);
        }
        m_lines.erase(0, written);
    }

private:
    static constexpr std::size_t kMaxBytes = 256 << 10;
    // A pipe reported as writable by poll() accepts this many bytes without blocking.
    static constexpr std::size_t kMaxWriteBytes = 4096;

    static bool isWritable()
    {
        pollfd state{STDOUT_FILENO, POLLOUT, 0};
        return ::poll(&state, 1, 0) > 0 && (state.revents & POLLOUT) != 0;
    }

    void appendDroppedCount()
    {
        if (m_dropped == 0 || m_lines.size() > kMaxBytes / 2)
            return;
        m_lines += fmt::format(R"({{"level":"warning","event":"log_lines_dropped","lines":{}}})"
                               "\n",
                               m_dropped);
        m_dropped = 0;
    }

    std::mutex m_mutex;
    std::string m_lines;
    std::uint64_t m_dropped = 0;
};

LineBuffer &lineBuffer()
{
    static LineBuffer buffer;
    return buffer;
}

struct FieldFormatter
{
    std::string operator()(std::string_view text) const { return jsonQuote(text); }
    std::string operator()(std::int64_t n) const { return fmt::format("{}", n); }
    std::string operator()(double n) const { return fmt::format("{:.6g}", n); }
    std::string operator()(bool flag) const { return flag ? "true" : "false"; }
};

} // namespace

void setLogLevel(LogLevel level)
{
    minimumLevel.store(level, std::memory_order_relaxed);
}

bool logEnabled(LogLevel level)
{
    return level >= minimumLevel.load(std::memory_order_relaxed);
}

void setLogOutput(LogOutput where)
{
    output.store(where, std::memory_order_relaxed);
}

void flushLog()
{
    lineBuffer().flush();
}

std::string jsonQuote(std::string_view text)
{
    using Json = nlohmann::json;
    return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string formatLogLine(std::int64_t unixMillis, LogLevel level, std::string_view event,
                          std::initializer_list<LogField> fields)
{
    constexpr std::int64_t kMillisPerSecond = 1000;
    const std::time_t wholeSeconds = unixMillis / kMillisPerSecond;
    std::string line =
            fmt::format(R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","level":"{}","event":{})",
                        fmt::gmtime(wholeSeconds), unixMillis % kMillisPerSecond,
                        nameOf(kLogLevelNames, level), jsonQuote(event));
    for (const auto &it : fields)
        line += fmt::format(",{}:{}", jsonQuote(it.name), std::visit(FieldFormatter{}, it.value));
    line += '}';
    return line;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!logEnabled(level))
        return;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto unixMillis =
            std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    const std::string line = formatLogLine(unixMillis, level, event, fields) + '\n';
    if (output.load(std::memory_order_relaxed) == LogOutput::StandardOutput) {
        lineBuffer().add(line);
        return;
    }
    // A single write per line prevents interleaving of lines from different threads.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace hawthornslip
