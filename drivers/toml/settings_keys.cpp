#include "drivers/toml/settings_keys.h"

#include "core/logger.h"
#include "drivers/toml/settings_reader.h"

#include <arpa/inet.h>

#include <charconv>

namespace hawthornslip {

std::string checkLogLevel(const std::string &text)
{
    return valueOf(kLogLevelNames, text) ? "" : "must be debug, info, warning or error";
}

bool parseAddress(std::string_view text, ListenAddress &address)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string ip(text.substr(0, colon));
    const std::string_view portText = text.substr(colon + 1);
    in_addr parsed{};
    if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1)
        return false;
    std::uint16_t port = 0;
    const auto *end = portText.data() + portText.size();
    const auto result = std::from_chars(portText.data(), end, port);
    if (result.ec != std::errc{} || result.ptr != end)
        return false;
    address.ip = ip;
    address.port = port;
    return true;
}

std::optional<double> numberOf(const TomlValue &value)
{
    if (const auto *whole = std::get_if<std::int64_t>(&value.value))
        return static_cast<double>(*whole);
    if (const auto *real = std::get_if<double>(&value.value))
        return *real;
    return std::nullopt;
}

std::string checkAddress(const std::string &text)
{
    ListenAddress unused;
    return parseAddress(text, unused) ? "" : "must be an address of the form ip:port";
}

std::string formatFault(const std::string &path, const SettingsFault &fault)
{
    std::string text = path;
    if (fault.line > 0)
        text += fmt::format(":{}", fault.line);
    if (!fault.key.empty())
        text += ": " + fault.key;
    return text + ": " + fault.message;
}

} // namespace hawthornslip
