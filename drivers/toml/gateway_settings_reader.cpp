#include "drivers/toml/gateway_settings_reader.h"

#include "drivers/toml/schema_reader.h"

namespace hawthornslip {

namespace {

using Keys = SettingsKeyFactory<GatewaySettings>;
using Schema = std::vector<SettingsKey<GatewaySettings>>;

std::string storeDuties(const TomlValue &value, GatewaySettings &settings)
{
    const auto *names = std::get_if<std::vector<std::string>>(&value.value);
    if (names == nullptr)
        return "must be a list of strings";
    settings.duties.duties.clear();
    // A deployment may ask for duties that this version does not know.
    for (const auto &it : *names) {
        if (const auto duty = valueOf(kDutyNames, it))
            settings.duties.duties.push_back(*duty);
    }
    return {};
}

void addDutyKeys(Schema &keys)
{
    using S = GatewaySettings;
    constexpr std::int64_t kLongestSeconds = 3600;
    constexpr double kMostCalls = 100'000;
    keys.push_back({"duties", "provider", false,
                    Keys::textKey(
                            [](S & s) -> auto & { return s.duties.provider; }, checkAddress)});
    keys.push_back({"duties", "perform", false, storeDuties});
    keys.push_back(
            {"duties", "calls_per_s", false,
             Keys::realKey(
                     [](S & s) -> auto & { return s.duties.callsPerSecond; }, 0, kMostCalls)});
    keys.push_back(
            {"duties", "lease_ms", false,
             Keys::millisKey(
                     [](S & s) -> auto & { return s.duties.lease; }, 1, 1000 * kLongestSeconds)});
    keys.push_back(
            {"duties", "report_window_s", false,
             Keys::secondsKey(
                     [](S & s) -> auto & { return s.duties.reportWindow; }, 1, kLongestSeconds)});
    keys.push_back(
            {"duties", "report_due_s", false,
             Keys::secondsKey(
                     [](S & s) -> auto & { return s.duties.reportDue; }, 0, kLongestSeconds)});
}

Schema makeSchema()
{
    using S = GatewaySettings;
    constexpr std::int64_t kLongestSeconds = 600;
    constexpr std::int64_t kLongestMs = 1000 * kLongestSeconds;
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
                            [](S & s) -> auto & { return s.memoryMb; }, 0, 1 << 20)});
    keys.push_back({"keys", "fail_closed", false,
                    Keys::flagKey([](S & s) -> auto & { return s.failClosed; })});
    millis(
            "keys", "revoke_within_ms", [](S & s) -> auto & { return s.revokeWithin; });
    millis(
            "upstreams", "drain_within_ms", [](S & s) -> auto & { return s.drainWithin; });
    millis(
            "upstreams", "heartbeat_ms", [](S & s) -> auto & { return s.upstreamHeartbeat; });
    keys.push_back({"retries", "ratio", false,
                    Keys::realKey(
                            [](S & s) -> auto & { return s.retryRatio; }, 0, 1)});
    keys.push_back({"retries", "window_s", false,
                    Keys::secondsKey(
                            [](S & s) -> auto & { return s.retryWindow; }, 1, kLongestSeconds)});
    keys.push_back({"stop", "grace_s", false,
                    Keys::secondsKey(
                            [](S & s) -> auto & { return s.stopGrace; }, 0, kLongestSeconds)});
    addDutyKeys(keys);
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

} // namespace hawthornslip
