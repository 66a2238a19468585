#pragma once

#include "core/enum_names.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

/** Structured logging: one JSON object per line. */
namespace hawthornslip {

/** Severity of a log line, lowest first. */
enum class LogLevel { Debug, Info, Warning, Error };

inline constexpr EnumNames<LogLevel, 4> kLogLevelNames = {{
        {LogLevel::Debug, "debug"},
        {LogLevel::Info, "info"},
        {LogLevel::Warning, "warning"},
        {LogLevel::Error, "error"},
}};

/** A named field of a log line. */
struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;

    LogField(std::string_view key, std::string_view text)
        : name(key)
        , value(text)
    {}
    LogField(std::string_view key, const std::string &text)
        : name(key)
        , value(std::string_view(text))
    {}
    LogField(std::string_view key, const char *text)
        : name(key)
        , value(std::string_view(text))
    {}
    LogField(std::string_view key, bool flag)
        : name(key)
        , value(flag)
    {}
    LogField(std::string_view key, double n)
        : name(key)
        , value(n)
    {}
    template <typename Integer>
    requires std::is_integral_v<Integer> LogField(std::string_view key, Integer n)
        : name(key)
        , value(static_cast<std::int64_t>(n))
    {}
};

/** Sets the minimum level that is written; the default is Info. */
void setLogLevel(LogLevel level);

/** Destination of log lines. */
enum class LogOutput {
    /** Writes each line at once. */
    StandardError,
    /** Buffers lines until flushLog() and never blocks; drops and counts lines when full. */
    StandardOutput
};

/** Sets the destination; the default is standard error. */
void setLogOutput(LogOutput output);

/** Writes as many buffered lines as standard output accepts without blocking. */
void flushLog();

/** @return true when lines of @p level are written. */
bool logEnabled(LogLevel level);

/**
 * Writes one line with the time, the level, the event name and the fields.
 *
 * @param event a snake_case name that identifies the kind of event.
 */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/** @return the line that logEvent() writes, without the newline. */
std::string formatLogLine(std::int64_t unixMillis, LogLevel level, std::string_view event,
                          std::initializer_list<LogField> fields);

/** @return @p text as a quoted JSON string; invalid UTF-8 bytes become U+FFFD. */
std::string jsonQuote(std::string_view text);

} // namespace hawthornslip
