#include "drivers/toml/settings_schema.h"

#include "core/logger.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace hawthornslip {

namespace {

using Keys = SettingsKeyFactory<Settings>;

constexpr std::size_t kHashHexDigits = 64;
constexpr std::size_t kCurveKeyCharacters = 40;

bool isHex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
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

Keys::Store policyKey()
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

void addNodeKeys(std::vector<SettingsKey<Settings>> &keys)
{
    keys.push_back({"node", "domain", true,
                    Keys::textKey(
                            [](Settings & s) -> auto & { return s.domain; }, checkNonEmpty)});
    keys.push_back({"node", "region", false,
                    Keys::textKey(
                            [](Settings & s) -> auto & { return s.region; }, checkNonEmpty)});
    keys.push_back({"node", "log_level", false,
                    Keys::textKey(
                            [](Settings & s) -> auto & { return s.logLevel; }, checkLogLevel)});
    keys.push_back(
            {"node", "initial_config_file", false,
             Keys::textKey(
                     [](Settings & s) -> auto & { return s.initialConfigFile; }, checkNonEmpty)});
    keys.push_back({"node", "scheduling_policy", false, policyKey()});
}

void addCallerKeys(std::vector<SettingsKey<Settings>> &keys)
{
    keys.push_back({"caller", "listen", true,
                    Keys::addressKey([](Settings & s) -> auto & { return s.caller.listen; })});
    keys.push_back({"caller", "tls_certificate", false,
                    Keys::textKey(
                            [](Settings & s) -> auto & { return s.caller.tls.certificate; },
                            checkNonEmpty)});
    keys.push_back(
            {"caller", "tls_key", false,
             Keys::textKey(
                     [](Settings & s) -> auto & { return s.caller.tls.key; }, checkNonEmpty)});
    const auto number = [&](std::string_view name, auto member, std::int64_t low,
                            std::int64_t high) {
        keys.push_back(
                {"caller", name, false,
                 Keys::numberKey(
                         [=](Settings & s) -> auto & { return s.caller.*member; }, low, high)});
    };
    number("max_connections", &CallerSettings::maxConnections, 1, 20'000);
    number("max_body_bytes", &CallerSettings::maxBodyBytes, 1024, 64 << 20);
    number("max_header_bytes", &CallerSettings::maxHeaderBytes, 1024, 1 << 20);
    number("relay_buffer_bytes", &CallerSettings::relayBufferBytes, 1024, 16 << 20);
}

void addOperatorKeys(std::vector<SettingsKey<Settings>> &keys)
{
    keys.push_back({"operator", "listen", true,
                    Keys::addressKey([](Settings & s) -> auto & { return s.operators.listen; })});
    keys.push_back({"operator", "tls_certificate", false,
                    Keys::textKey(
                            [](Settings & s) -> auto & { return s.operators.tls.certificate; },
                            checkNonEmpty)});
    keys.push_back(
            {"operator", "tls_key", false,
             Keys::textKey(
                     [](Settings & s) -> auto & { return s.operators.tls.key; }, checkNonEmpty)});
    keys.push_back(
            {"operator", "key_hashes", true,
             Keys::listKey(
                     [](Settings & s) -> auto & { return s.operators.keyHashes; }, keyHash)});
}

void addPeerKeys(std::vector<SettingsKey<Settings>> &keys)
{
    keys.push_back({"peer", "listen", true,
                    Keys::addressKey([](Settings & s) -> auto & { return s.peer.listen; })});
    keys.push_back(
            {"peer", "curve_public_key", true,
             Keys::textKey(
                     [](Settings & s) -> auto & { return s.peer.curvePublicKey; }, curveKey)});
    keys.push_back(
            {"peer", "curve_secret_key", true,
             Keys::textKey(
                     [](Settings & s) -> auto & { return s.peer.curveSecretKey; }, curveKey)});
    keys.push_back({"peer", "allowed_keys", false,
                    Keys::listKey(
                            [](Settings & s) -> auto & { return s.peer.allowedKeys; }, curveKey)});
    keys.push_back({"peer", "seeds", false,
                    Keys::listKey(
                            [](Settings & s) -> auto & { return s.peer.seeds; }, checkAddress)});
}

void addPlatformKeys(std::vector<SettingsKey<Settings>> &keys)
{
    keys.push_back(
            {"platform", "object_store_url", false,
             Keys::textKey(
                     [](Settings & s) -> auto & { return s.platform.objectStoreUrl; }, httpUrl)});
    keys.push_back({"platform", "vm_list_url", false,
                    Keys::textKey(
                            [](Settings & s) -> auto & { return s.platform.vmListUrl; }, httpUrl)});
    keys.push_back(
            {"platform", "store_timeout_ms", false,
             Keys::millisKey(
                     [](Settings & s) -> auto & { return s.platform.storeTimeout; }, 50, 60'000)});
    keys.push_back(
            {"platform", "ca_file", false,
             Keys::textKey(
                     [](Settings & s) -> auto & { return s.platform.caFile; }, checkNonEmpty)});
    keys.push_back(
            {"stop", "balancer_notice_ms", false,
             Keys::millisKey(
                     [](Settings & s) -> auto & { return s.stop.balancerNotice; }, 0, 600'000)});
}

std::vector<SettingsKey<Settings>> makeSchema()
{
    std::vector<SettingsKey<Settings>> keys;
    addNodeKeys(keys);
    addCallerKeys(keys);
    addOperatorKeys(keys);
    addPeerKeys(keys);
    addPlatformKeys(keys);
    return keys;
}

} // namespace

const std::vector<SettingsKey<Settings>> &settingsSchema()
{
    static const std::vector<SettingsKey<Settings>> kSchema = makeSchema();
    return kSchema;
}

} // namespace hawthornslip
