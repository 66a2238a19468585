#pragma once

#include "core/settings.h"
#include "drivers/toml/toml_document.h"

#include <fmt/format.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

namespace hawthornslip {

/** Parses `ip:port`. @return false when @p text is not an IPv4 number and a port. */
bool parseAddress(std::string_view text, ListenAddress &address);

/** @return what is wrong with an address of the form `ip:port`, or an empty text. */
std::string checkAddress(const std::string &text);

/** @return the number that @p value holds, whole or not, or nothing. */
std::optional<double> numberOf(const TomlValue &value);

/** One known key of a settings file whose values go into a @p Target. */
template <typename Target>
struct SettingsKey
{
    std::string_view section;
    std::string_view name;
    bool required = false;
    /** Stores the value; returns what is wrong with it, or an empty text. */
    std::function<std::string(const TomlValue &, Target &)> store;
};

/** Makes the functions that check and store the values of keys. */
template <typename Target>
struct SettingsKeyFactory
{
    using Store = std::function<std::string(const TomlValue &, Target &)>;

    template <typename Access, typename Check>
    static Store textKey(Access access, Check check)
    {
        return [=](const TomlValue &value, Target &settings) -> std::string {
            const auto *text = std::get_if<std::string>(&value.value);
            if (text == nullptr)
                return "must be a string";
            std::string fault = check(*text);
            if (fault.empty())
                access(settings) = std::decay_t<decltype(access(settings))>(*text);
            return fault;
        };
    }

    template <typename Access>
    static Store addressKey(Access access)
    {
        return [=](const TomlValue &value, Target &settings) -> std::string {
            const auto *text = std::get_if<std::string>(&value.value);
            if (text == nullptr)
                return "must be a string";
            std::string fault = checkAddress(*text);
            if (fault.empty())
                parseAddress(*text, access(settings));
            return fault;
        };
    }

    template <typename Access>
    static Store numberKey(Access access, std::int64_t lowest, std::int64_t highest)
    {
        return [=](const TomlValue &value, Target &settings) -> std::string {
            const auto *n = std::get_if<std::int64_t>(&value.value);
            if (n == nullptr)
                return "must be a whole number";
            if (*n < lowest || *n > highest)
                return fmt::format("must be between {} and {}", lowest, highest);
            access(settings) = static_cast<std::uint32_t>(*n);
            return {};
        };
    }

    template <typename Access>
    static Store millisKey(Access access, std::int64_t lowest, std::int64_t highest)
    {
        return timeKey(access, milliseconds(1), lowest, highest, "milliseconds");
    }

    template <typename Access>
    static Store secondsKey(Access access, std::int64_t lowest, std::int64_t highest)
    {
        return timeKey(access, seconds(1), lowest, highest, "seconds");
    }

    template <typename Access, typename Check>
    static Store listKey(Access access, Check check)
    {
        return [=](const TomlValue &value, Target &settings) -> std::string {
            const auto *texts = std::get_if<std::vector<std::string>>(&value.value);
            if (texts == nullptr)
                return "must be a list of strings";
            auto &list = access(settings);
            list.clear();
            for (const auto &it : *texts) {
                if (const std::string fault = check(it); !fault.empty())
                    return fmt::format("\"{}\" {}", it, fault);
                list.emplace_back(it);
            }
            return {};
        };
    }

    template <typename Access>
    static Store realKey(Access access, double lowest, double highest)
    {
        return [=](const TomlValue &value, Target &settings) -> std::string {
            const auto n = numberOf(value);
            if (!n)
                return "must be a number";
            if (!(*n >= lowest && *n <= highest))
                return fmt::format("must be between {} and {}", lowest, highest);
            access(settings) = *n;
            return {};
        };
    }

    template <typename Access>
    static Store flagKey(Access access)
    {
        return [=](const TomlValue &value, Target &settings) -> std::string {
            const auto *flag = std::get_if<bool>(&value.value);
            if (flag == nullptr)
                return "must be true or false";
            access(settings) = *flag;
            return {};
        };
    }

private:
    template <typename Access>
    static Store timeKey(Access access, Duration unit, std::int64_t lowest, std::int64_t highest,
                         std::string_view unitName)
    {
        return [=](const TomlValue &value, Target &settings) -> std::string {
            const auto n = numberOf(value);
            if (!n)
                return fmt::format("must be a number of {}", unitName);
            if (!(*n >= static_cast<double>(lowest) && *n <= static_cast<double>(highest)))
                return fmt::format("must be between {} and {} {}", lowest, highest, unitName);
            access(settings) = std::chrono::duration_cast<Duration>(*n * unit);
            return {};
        };
    }
};

/** @return "must not be empty" for an empty text. */
inline std::string checkNonEmpty(const std::string &text)
{
    return text.empty() ? "must not be empty" : "";
}

/** @return what is wrong with the name of a log level, or an empty text. */
std::string checkLogLevel(const std::string &text);

} // namespace hawthornslip
