#include "core/logger.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdio>

namespace hawthornslip {

namespace {

std::atomic<LogLevel> lowestLevel{LogLevel::Info};

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
    lowestLevel.store(level, std::memory_order_relaxed);
}

bool logEnabled(LogLevel level)
{
    return level >= lowestLevel.load(std::memory_order_relaxed);
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
    const std::time_t whole = unixMillis / kMillisPerSecond;
    std::string line = fmt::format(
            R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","level":"{}","event":{})", fmt::gmtime(whole),
            unixMillis % kMillisPerSecond, nameOf(kLogLevelNames, level), jsonQuote(event));
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
    // One write a line keeps lines of several threads apart.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace hawthornslip
