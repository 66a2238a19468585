#include "modules/config/config_validator.h"

#include "modules/config/json_object_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace hawthornslip {

namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxAuthorLength = 256;
constexpr auto kMaxDuration = seconds(24 * 3600);
constexpr std::uint32_t kMaxTokens = 10'000'000;
constexpr double kMaxRate = 1e6;
constexpr double kMaxWeight = 1000;
constexpr std::size_t kMinHashLength = 32;
constexpr std::size_t kMaxHashLength = 128;
// The current key and, during a rotation, the one that replaces it.
constexpr std::size_t kMaxKeyHashes = 2;
constexpr std::uint32_t kMaxConcurrency = 100'000;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view("-_.:/@").find(c) != std::string_view::npos;
}

bool isHash(const std::string &text)
{
    return text.size() >= kMinHashLength && text.size() <= kMaxHashLength &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/** Validates one configuration and collects its faults. */
class Checker
{
public:
    Checker(const SharedConfig &config, ConfigFaults &faults)
        : m_config(config)
        , m_faults(faults)
    {
        for (const auto &it : faults)
            m_pathsWithFaults.insert(it.path);
    }

    void run()
    {
        expect(m_config.generation >= 1, "generation", "must be at least 1");
        expect(m_config.author.size() <= kMaxAuthorLength, "author", "is too long");
        for (std::size_t i = 0; i < m_config.profiles.size(); ++i)
            checkProfile(m_config.profiles[i], fmt::format("profiles[{}]", i));
        for (std::size_t i = 0; i < m_config.workspaces.size(); ++i)
            checkWorkspace(m_config.workspaces[i], fmt::format("workspaces[{}]", i));
        for (std::size_t i = 0; i < m_config.upstreams.size(); ++i)
            checkUpstream(m_config.upstreams[i], fmt::format("upstreams[{}]", i));
    }

private:
    void expect(bool holds, const std::string &path, std::string message)
    {
        if (!holds && !m_pathsWithFaults.contains(path))
            addConfigFault(m_faults, path, std::move(message));
    }

    template <typename Number>
    void expectRange(Number n, Number least, Number most, const std::string &path)
    {
        expect(n >= least && n <= most, path, fmt::format("must be from {} to {}", least, most));
    }

    void expectMillis(Duration time, const std::string &path)
    {
        expectRange<std::int64_t>(toMillis(time), 1, toMillis(kMaxDuration), path);
    }

    void checkName(const std::string &name, const std::string &path)
    {
        expect(!name.empty(), path, "must not be empty");
        expect(name.size() <= kMaxNameLength, path, "is too long");
        expect(std::all_of(name.begin(), name.end(), isNameCharacter), path,
               "may hold only letters, digits and - _ . : / @");
    }

    void checkUnique(std::map<std::string, std::string> &seen, const std::string &name,
                     const std::string &path)
    {
        const auto [it, added] = seen.try_emplace(name, path);
        expect(added, path, "is the same as " + it->second);
    }

    void checkProfile(const Profile &profile, const std::string &path)
    {
        checkName(profile.name.value, path + ".name");
        checkUnique(m_profiles, profile.name.value, path + ".name");
        expectRange(profile.tier, 0, kTierCount - 1, path + ".tier");
        expectMillis(profile.firstTokenTarget, path + ".first_token_target_ms");
        expectMillis(profile.tokenTarget, path + ".token_target_ms");
        expectMillis(profile.totalTimeout, path + ".total_timeout_ms");
        expect(profile.totalTimeout >= profile.firstTokenTarget, path + ".total_timeout_ms",
               "must not be below first_token_target_ms");
        expect(profile.idempotent || !profile.resumable, path + ".resumable",
               "must be false when idempotent is false");
        expectRange(profile.retryRatio, 0.0, 1.0, path + ".retry_ratio");
        expectRange<std::uint32_t>(profile.maxTokens, 1, kMaxTokens, path + ".max_tokens");
        expectRange<std::uint32_t>(profile.expectedTokens, 1, kMaxTokens,
                                   path + ".expected_tokens");
    }

    void checkWorkspace(const Workspace &workspace, const std::string &path)
    {
        checkName(workspace.id.value, path + ".id");
        checkUnique(m_workspaces, workspace.id.value, path + ".id");
        expect(workspace.keyHashes.size() <= kMaxKeyHashes, path + ".key_hashes",
               fmt::format("must hold at most {} keys", kMaxKeyHashes));
        for (std::size_t i = 0; i < workspace.keyHashes.size(); ++i) {
            const auto at = fmt::format("{}.key_hashes[{}]", path, i);
            expect(isHash(workspace.keyHashes[i]), at, "must be a hash in lower-case hexadecimal");
            // A key shared by two workspaces would not identify the caller.
            checkUnique(m_keyHashes, workspace.keyHashes[i], at);
        }
        for (std::size_t i = 0; i < workspace.profiles.size(); ++i)
            expect(m_profiles.contains(workspace.profiles[i].value),
                   fmt::format("{}.profiles[{}]", path, i), "names no profile of this document");
        expect(workspace.requestsPerSecond > 0 && workspace.requestsPerSecond <= kMaxRate,
               path + ".requests_per_second", fmt::format("must be above 0, up to {}", kMaxRate));
        expect(workspace.burstRequests >= 1, path + ".burst_requests", "must be at least 1");
        expect(workspace.weight > 0 && workspace.weight <= kMaxWeight, path + ".weight",
               fmt::format("must be above 0, up to {}", kMaxWeight));
    }

    void checkUpstream(const Upstream &upstream, const std::string &path)
    {
        checkName(upstream.id.value, path + ".id");
        checkUnique(m_upstreams, upstream.id.value, path + ".id");
        checkUrl(upstream.url, path + ".url");
        for (std::size_t i = 0; i < upstream.models.size(); ++i)
            checkModel(upstream, upstream.models[i].value, fmt::format("{}.models[{}]", path, i));
        expectRange<std::uint32_t>(upstream.maxConcurrency, 1, kMaxConcurrency,
                                   path + ".max_concurrency");
    }

    void checkUrl(const std::string &url, const std::string &path)
    {
        const bool http = url.starts_with("http://") || url.starts_with("https://");
        const auto host = url.find("://") + 3;
        expect(http && url.size() > host && url[host] != '/' && url.size() <= 2 * kMaxNameLength,
               path, "must be an address such as http://10.0.0.1:8000");
        expect(std::all_of(url.begin(), url.end(), [](char c) { return c > ' ' && c < '\x7f'; }),
               path, "may hold only printable ASCII characters");
    }

    void checkModel(const Upstream &upstream, const std::string &model, const std::string &path)
    {
        checkName(model, path);
        const bool isRoute = model.starts_with("app:");
        expect(isRoute == (upstream.kind == UpstreamKind::Application), path,
               isRoute ? "only an application serves app:<route>"
                       : "an application serves app:<route>");
    }

    const SharedConfig &m_config;
    ConfigFaults &m_faults;
    std::set<std::string> m_pathsWithFaults;
    std::map<std::string, std::string> m_profiles;
    std::map<std::string, std::string> m_workspaces;
    std::map<std::string, std::string> m_keyHashes;
    std::map<std::string, std::string> m_upstreams;
};

} // namespace

void ConfigValidator::check(const SharedConfig &config, ConfigFaults &faults)
{
    Checker(config, faults).run();
}

} // namespace hawthornslip
