#include "drivers/toml/settings_schema.h"

#include "core/logger.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace hawthornslip {

namespace {

using Store = std::function<std::string(const TomlValue &, Settings &)>;

constexpr std::size_t kHashHexDigits = 64;
constexpr std::size_t kCurveKeyCharacters = 40;

bool isHex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

template <typename Access, typename Check>
Store textKey(Access access, Check check)
{
    return [=](const TomlValue &value, Settings &settings) -> std::string {
        const auto *text = std::get_if<std::string>(&value.value);
        if (text == nullptr)
            return "must be a string";
        std::string fault = check(*text);
        if (fault.empty())
            access(settings) = std::decay_t<decltype(access(settings))>(*text);
        return fault;
    };
}

std::string nonEmpty(const std::string &text)
{
    return text.empty() ? "must not be empty" : "";
}

std::string httpUrl(const std::string &text)
{
    const bool valid = text.empty() || text.starts_with("http://") || text.starts_with("https://");
    return valid ? "" : "must start with http:// or https://";
}

std::string curveKey(const std::string &text)
{
    return text.size() == kCurveKeyCharacters
                   ? ""
                   : fmt::format("must be a Z85 key of {} characters", kCurveKeyCharacters);
}

std::string keyHash(const std::string &text)
{
    return text.size() == kHashHexDigits && isHex(text)
                   ? ""
                   : fmt::format("must be a hash of {} lower-case hexadecimal digits",
                                 kHashHexDigits);
}

std::string nodeAddress(const std::string &text)
{
    ListenAddress unused;
    return parseAddress(text, unused) ? "" : "must be an address of the form ip:port";
}

std::string levelName(const std::string &text)
{
    return valueOf(kLogLevelNames, text) ? "" : "must be debug, info, warning or error";
}

Store policyKey()
{
    return [](const TomlValue &value, Settings &settings) -> std::string {
        const auto *text = std::get_if<std::string>(&value.value);
        const auto policy = text == nullptr ? std::nullopt : valueOf(kSchedulingPolicyNames, *text);
        if (!policy)
            return "must be hawthornslip, round_robin or least_in_flight";
        settings.schedulingPolicy = *policy;
        return {};
    };
}

template <typename Access>
Store addressKey(Access access)
{
    return [=](const TomlValue &value, Settings &settings) -> std::string {
        const auto *text = std::get_if<std::string>(&value.value);
        if (text == nullptr || !parseAddress(*text, access(settings)))
            return "must be an address of the form ip:port";
        return {};
    };
}

template <typename Access>
Store numberKey(Access access, std::int64_t lowest, std::int64_t highest)
{
    return [=](const TomlValue &value, Settings &settings) -> std::string {
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
Store millisKey(Access access, std::int64_t lowest, std::int64_t highest)
{
    return [=](const TomlValue &value, Settings &settings) -> std::string {
        const auto *n = std::get_if<std::int64_t>(&value.value);
        if (n == nullptr)
            return "must be a whole number of milliseconds";
        if (*n < lowest || *n > highest)
            return fmt::format("must be between {} and {} ms", lowest, highest);
        access(settings) = milliseconds(*n);
        return {};
    };
}

template <typename Access, typename Check>
Store listKey(Access access, Check check)
{
    return [=](const TomlValue &value, Settings &settings) -> std::string {
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

void addNodeKeys(std::vector<SettingsKey> &keys)
{
    keys.push_back({"node", "domain", true,
                    textKey(
                            [](Settings & s) -> auto & { return s.domain; }, nonEmpty)});
    keys.push_back({"node", "region", false,
                    textKey(
                            [](Settings & s) -> auto & { return s.region; }, nonEmpty)});
    keys.push_back({"node", "log_level", false,
                    textKey(
                            [](Settings & s) -> auto & { return s.logLevel; }, levelName)});
    keys.push_back({"node", "initial_config_file", false,
                    textKey(
                            [](Settings & s) -> auto & { return s.initialConfigFile; }, nonEmpty)});
    keys.push_back({"node", "scheduling_policy", false, policyKey()});
}

void addCallerKeys(std::vector<SettingsKey> &keys)
{
    keys.push_back({"caller", "listen", true,
                    addressKey([](Settings & s) -> auto & { return s.caller.listen; })});
    keys.push_back(
            {"caller", "tls_certificate", false,
             textKey(
                     [](Settings & s) -> auto & { return s.caller.tls.certificate; }, nonEmpty)});
    keys.push_back({"caller", "tls_key", false,
                    textKey(
                            [](Settings & s) -> auto & { return s.caller.tls.key; }, nonEmpty)});
    const auto number = [&](std::string_view name, auto member, std::int64_t low,
                            std::int64_t high) {
        keys.push_back(
                {"caller", name, false,
                 numberKey(
                         [=](Settings & s) -> auto & { return s.caller.*member; }, low, high)});
    };
    number("max_connections", &CallerSettings::maxConnections, 1, 20'000);
    number("max_body_bytes", &CallerSettings::maxBodyBytes, 1024, 64 << 20);
    number("max_header_bytes", &CallerSettings::maxHeaderBytes, 1024, 1 << 20);
    number("relay_buffer_bytes", &CallerSettings::relayBufferBytes, 1024, 16 << 20);
}

void addOperatorKeys(std::vector<SettingsKey> &keys)
{
    keys.push_back({"operator", "listen", true,
                    addressKey([](Settings & s) -> auto & { return s.operators.listen; })});
    keys.push_back({"operator", "tls_certificate", false,
                    textKey(
                            [](Settings & s) -> auto & { return s.operators.tls.certificate; },
                            nonEmpty)});
    keys.push_back({"operator", "tls_key", false,
                    textKey(
                            [](Settings & s) -> auto & { return s.operators.tls.key; }, nonEmpty)});
    keys.push_back(
            {"operator", "key_hashes", true,
             listKey(
                     [](Settings & s) -> auto & { return s.operators.keyHashes; }, keyHash)});
}

void addPeerKeys(std::vector<SettingsKey> &keys)
{
    keys.push_back({"peer", "listen", true,
                    addressKey([](Settings & s) -> auto & { return s.peer.listen; })});
    keys.push_back(
            {"peer", "curve_public_key", true,
             textKey(
                     [](Settings & s) -> auto & { return s.peer.curvePublicKey; }, curveKey)});
    keys.push_back(
            {"peer", "curve_secret_key", true,
             textKey(
                     [](Settings & s) -> auto & { return s.peer.curveSecretKey; }, curveKey)});
    keys.push_back({"peer", "allowed_keys", false,
                    listKey(
                            [](Settings & s) -> auto & { return s.peer.allowedKeys; }, curveKey)});
    keys.push_back({"peer", "seeds", false,
                    listKey(
                            [](Settings & s) -> auto & { return s.peer.seeds; }, nodeAddress)});
}

void addPlatformKeys(std::vector<SettingsKey> &keys)
{
    keys.push_back(
            {"platform", "object_store_url", false,
             textKey(
                     [](Settings & s) -> auto & { return s.platform.objectStoreUrl; }, httpUrl)});
    keys.push_back({"platform", "vm_list_url", false,
                    textKey(
                            [](Settings & s) -> auto & { return s.platform.vmListUrl; }, httpUrl)});
    keys.push_back(
            {"platform", "store_timeout_ms", false,
             millisKey(
                     [](Settings & s) -> auto & { return s.platform.storeTimeout; }, 50, 60'000)});
    keys.push_back({"platform", "ca_file", false,
                    textKey(
                            [](Settings & s) -> auto & { return s.platform.caFile; }, nonEmpty)});
    keys.push_back(
            {"stop", "balancer_notice_ms", false,
             millisKey(
                     [](Settings & s) -> auto & { return s.stop.balancerNotice; }, 0, 600'000)});
}

std::vector<SettingsKey> makeSchema()
{
    std::vector<SettingsKey> keys;
    addNodeKeys(keys);
    addCallerKeys(keys);
    addOperatorKeys(keys);
    addPeerKeys(keys);
    addPlatformKeys(keys);
    return keys;
}

} // namespace

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

const std::vector<SettingsKey> &settingsSchema()
{
    static const std::vector<SettingsKey> kSchema = makeSchema();
    return kSchema;
}

} // namespace hawthornslip
