#include "drivers/toml/gateway_settings_reader.h"

#include "core/file_text.h"
#include "drivers/toml/schema_reader.h"

namespace hawthornslip {

namespace {

using Keys = SettingsKeyFactory<GatewaySettings>;
using Schema = std::vector<SettingsKey<GatewaySettings>>;

std::string checkAddress(const std::string &text)
{
    ListenAddress unused;
    return parseAddress(text, unused) ? "" : "must be an address of the form ip:port";
}

Schema makeSchema()
{
    using S = GatewaySettings;
    constexpr std::int64_t kLongestMs = 600'000;
    Schema keys;
    const auto millis = [&keys](std::string_view section, std::string_view name, auto access) {
        keys.push_back({section, name, false, Keys::millisKey(access, 0, kLongestMs)});
    };
    keys.push_back({"node", "name", false,
                    Keys::textKey(
                            [](S & s) -> auto & { return s.nodeName; }, checkNonEmpty)});
    keys.push_back({"node", "domain", true,
                    Keys::textKey(
                            [](S & s) -> auto & { return s.domain; }, checkNonEmpty)});
    keys.push_back({"node", "log_level", false,
                    Keys::textKey(
                            [](S & s) -> auto & { return s.logLevel; }, checkLogLevel)});
    keys.push_back({"listen", "callers", true,
                    Keys::addressKey([](S & s) -> auto & { return s.callers; })});
    keys.push_back({"listen", "readiness", true,
                    Keys::addressKey([](S & s) -> auto & { return s.readiness; })});
    keys.push_back({"listen", "metrics", true,
                    Keys::addressKey([](S & s) -> auto & { return s.metrics; })});
    keys.push_back(
            {"listen", "peers", true, Keys::addressKey([](S & s) -> auto & { return s.peers; })});
    keys.push_back({"store", "address", true,
                    Keys::textKey(
                            [](S & s) -> auto & { return s.storeAddress; }, checkAddress)});
    keys.push_back({"limits", "max_descriptors", false,
                    Keys::numberKey(
                            [](S & s) -> auto & { return s.maxDescriptors; }, 64, 1 << 20)});
    keys.push_back({"limits", "memory_mb", false,
                    Keys::numberKey(
                            [](S & s) -> auto & { return s.memoryMb; }, 32, 1 << 20)});
    keys.push_back({"keys", "fail_closed", false,
                    Keys::flagKey([](S & s) -> auto & { return s.failClosed; })});
    millis(
            "keys", "revoke_within_ms", [](S & s) -> auto & { return s.revokeWithin; });
    millis(
            "upstreams", "drain_within_ms", [](S & s) -> auto & { return s.drainWithin; });
    keys.push_back({"retries", "ratio", false,
                    Keys::realKey(
                            [](S & s) -> auto & { return s.repeatRatio; }, 0, 1)});
    millis(
            "retries", "window_ms", [](S & s) -> auto & { return s.repeatWindow; });
    millis(
            "stop", "grace_ms", [](S & s) -> auto & { return s.stopGrace; });
    return keys;
}

} // namespace

GatewaySettingsResult parseGatewaySettings(std::string_view text)
{
    static const Schema kSchema = makeSchema();
    GatewaySettingsResult result;
    try {
        SchemaReader<GatewaySettings>(kSchema, result.settings, result.faults)
                .read(parseToml(text));
    } catch (const TomlError &error) {
        result.faults.push_back({"", error.line(), error.what()});
    }
    return result;
}

GatewaySettingsResult readGatewaySettings(const std::string &path)
{
    const auto text = readFileText(path);
    if (text)
        return parseGatewaySettings(*text);
    GatewaySettingsResult result;
    result.faults.push_back({"", 0, "the file cannot be read"});
    return result;
}

} // namespace hawthornslip
