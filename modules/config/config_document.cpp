#include "modules/config/config_document.h"

#include "core/enum_names.h"
#include "modules/config/config_validator.h"
#include "modules/config/json_object_reader.h"

#include <nlohmann/json.hpp>

#include <set>
#include <utility>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

// The deepest value of a valid document is an entry of `workspaces[n].key_hashes`.
constexpr int kMaxDepth = 8;

constexpr EnumNames<UpstreamKind, 2> kKindNames = {{
        {UpstreamKind::Language, "language"},
        {UpstreamKind::Application, "application"},
}};
constexpr EnumNames<UpstreamState, 2> kStateNames = {{
        {UpstreamState::Active, "active"},
        {UpstreamState::Draining, "draining"},
}};

template <typename Id>
OrderedJson idsToJson(const std::vector<Id> &ids)
{
    auto list = OrderedJson::array();
    for (const auto &it : ids)
        list.push_back(it.value);
    return list;
}

OrderedJson toJson(const Profile &profile)
{
    return {{"name", profile.name.value},
            {"tier", profile.tier},
            {"idempotent", profile.idempotent},
            {"first_token_target_ms", toMillis(profile.firstTokenTarget)},
            {"token_target_ms", toMillis(profile.tokenTarget)},
            {"total_timeout_ms", toMillis(profile.totalTimeout)},
            {"resumable", profile.resumable},
            {"retry_ratio", profile.retryRatio},
            {"max_tokens", profile.maxTokens},
            {"expected_tokens", profile.expectedTokens}};
}

OrderedJson toJson(const Workspace &workspace)
{
    return {{"id", workspace.id.value},
            {"key_hashes", workspace.keyHashes},
            {"profiles", idsToJson(workspace.profiles)},
            {"requests_per_second", workspace.requestsPerSecond},
            {"burst_requests", workspace.burstRequests},
            {"weight", workspace.weight}};
}

OrderedJson toJson(const Upstream &upstream)
{
    OrderedJson json = {{"id", upstream.id.value},
                        {"kind", nameOf(kKindNames, upstream.kind)},
                        {"url", upstream.url},
                        {"domain", upstream.domain.value},
                        {"models", idsToJson(upstream.models)},
                        {"state", nameOf(kStateNames, upstream.state)},
                        {"checks_fencing", upstream.checksFencing},
                        {"max_concurrency", upstream.maxConcurrency}};
    if (!upstream.softwareVersion.empty())
        json["software_version"] = upstream.softwareVersion;
    return json;
}

template <typename Items>
OrderedJson toJsonArray(const Items &items)
{
    auto list = OrderedJson::array();
    for (const auto &it : items)
        list.push_back(toJson(it));
    return list;
}

void readItem(JsonObjectReader &reader, Profile &profile)
{
    reader.require("name");
    reader.read("name", profile.name);
    reader.read("tier", profile.tier);
    reader.read("idempotent", profile.idempotent);
    reader.readMillis("first_token_target_ms", profile.firstTokenTarget);
    reader.readMillis("token_target_ms", profile.tokenTarget);
    reader.readMillis("total_timeout_ms", profile.totalTimeout);
    // Resuming runs the request again, so the default is off for non-idempotent profiles.
    profile.resumable = profile.idempotent;
    reader.read("resumable", profile.resumable);
    reader.read("retry_ratio", profile.retryRatio);
    reader.read("max_tokens", profile.maxTokens);
    reader.read("expected_tokens", profile.expectedTokens);
}

void readItem(JsonObjectReader &reader, Workspace &workspace)
{
    reader.require("id");
    reader.read("id", workspace.id);
    reader.read("key_hashes", workspace.keyHashes);
    reader.read("profiles", workspace.profiles);
    reader.read("requests_per_second", workspace.requestsPerSecond);
    reader.read("burst_requests", workspace.burstRequests);
    reader.read("weight", workspace.weight);
}

void readItem(JsonObjectReader &reader, Upstream &upstream)
{
    reader.require("id");
    reader.require("url");
    reader.read("id", upstream.id);
    reader.readEnum("kind", kKindNames, upstream.kind);
    reader.read("url", upstream.url);
    reader.read("domain", upstream.domain);
    reader.read("models", upstream.models);
    reader.readEnum("state", kStateNames, upstream.state);
    reader.read("checks_fencing", upstream.checksFencing);
    reader.read("max_concurrency", upstream.maxConcurrency);
    reader.read("software_version", upstream.softwareVersion);
}

template <typename Item>
void readItems(JsonObjectReader &reader, std::string_view name, std::vector<Item> &items,
               ConfigFaults &faults)
{
    const Json *list = reader.readArray(name);
    if (list == nullptr)
        return;
    items.resize(list->size());
    for (std::size_t i = 0; i < list->size(); ++i) {
        JsonObjectReader item((*list)[i], reader.pathOf(name) + "[" + std::to_string(i) + "]",
                              faults);
        readItem(item, items[i]);
        item.reportUnknownFields();
    }
}

/**
 * Stops the JSON parser at excessive nesting before it takes memory, and records a duplicate field
 * name, which the parsed value no longer shows.
 */
class ParserCallback
{
public:
    bool operator()(int depth, Json::parse_event_t event, Json &value)
    {
        using Event = Json::parse_event_t;
        if (depth > kMaxDepth)
            m_tooDeep = true;
        if (event == Event::object_start)
            m_fieldNames.emplace_back();
        else if (event == Event::object_end && !m_fieldNames.empty())
            m_fieldNames.pop_back();
        else if (event == Event::key && !m_fieldNames.empty() &&
                 !m_fieldNames.back().insert(value.get<std::string>()).second)
            m_duplicateField = value.get<std::string>();
        return !m_tooDeep;
    }

    void report(ConfigFaults &faults) const
    {
        if (m_tooDeep)
            addConfigFault(faults, "", "is nested too deeply");
        if (m_duplicateField)
            addConfigFault(faults, "",
                           "a field appears twice in one object: " +
                                   m_duplicateField->substr(0, kMaxReportedLength));
    }

private:
    static constexpr std::size_t kMaxReportedLength = 64;
    bool m_tooDeep = false;
    std::optional<std::string> m_duplicateField;
    std::vector<std::set<std::string>> m_fieldNames;
};

// Runs before the parser. The parser's own state is on the heap, but code that uses the parsed
// value needs a bounded depth.
bool nestsTooDeeply(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                inString = false;
            continue;
        }
        if (c == '"')
            inString = true;
        else if (c == '{' || c == '[')
            ++depth;
        else if (c == '}' || c == ']')
            --depth;
        if (depth > kMaxDepth)
            return true;
    }
    return false;
}

Json parseJson(std::string_view text, ConfigFaults &faults)
{
    if (text.size() > ConfigDocument::kMaxBytes) {
        addConfigFault(faults, "",
                       "is larger than " + std::to_string(ConfigDocument::kMaxBytes) + " bytes");
        return {};
    }
    if (nestsTooDeeply(text)) {
        addConfigFault(faults, "", "is nested too deeply");
        return {};
    }
    ParserCallback callback;
    try {
        Json value = Json::parse(text, std::ref(callback));
        callback.report(faults);
        return value;
    } catch (const Json::exception &error) {
        addConfigFault(faults, "", std::string("is no valid JSON: ") + error.what());
        return {};
    }
}

} // namespace

std::string ConfigDocument::toText(const SharedConfig &config, int indent)
{
    const OrderedJson document = {{"schema_version", kSchemaVersion},
                                  {"generation", config.generation},
                                  {"author", config.author},
                                  {"profiles", toJsonArray(config.profiles)},
                                  {"workspaces", toJsonArray(config.workspaces)},
                                  {"upstreams", toJsonArray(config.upstreams)}};
    return document.dump(indent, ' ', false, OrderedJson::error_handler_t::replace);
}

ParsedConfig ConfigDocument::parse(std::string_view text)
{
    ParsedConfig parsed;
    const Json document = parseJson(text, parsed.faults);
    if (!parsed.ok())
        return parsed;
    std::uint64_t version = kSchemaVersion;
    JsonObjectReader reader(document, "", parsed.faults);
    reader.require("schema_version");
    reader.require("generation");
    reader.read("schema_version", version);
    reader.read("generation", parsed.config.generation);
    reader.read("author", parsed.config.author);
    readItems(reader, "profiles", parsed.config.profiles, parsed.faults);
    readItems(reader, "workspaces", parsed.config.workspaces, parsed.faults);
    readItems(reader, "upstreams", parsed.config.upstreams, parsed.faults);
    reader.reportUnknownFields();
    if (version != kSchemaVersion)
        addConfigFault(parsed.faults, "schema_version",
                       "must be " + std::to_string(kSchemaVersion));
    ConfigValidator::check(parsed.config, parsed.faults);
    return parsed;
}

} // namespace hawthornslip
