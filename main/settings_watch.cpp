#include "main/settings_watch.h"

#include "core/file_text.h"

#include <utility>

namespace hawthornslip {

SettingsWatch::SettingsWatch(std::string path)
    : m_path(std::move(path))
{}

GatewaySettingsResult SettingsWatch::read()
{
    if (auto text = readFileText(m_path)) {
        m_text = std::move(*text);
        return parseGatewaySettings(m_text);
    }
    GatewaySettingsResult result;
    result.faults.push_back({"", 0, "the file cannot be read"});
    return result;
}

std::optional<GatewaySettingsResult> SettingsWatch::poll()
{
    auto text = readFileText(m_path);
    if (!text || *text == m_text)
        return std::nullopt;
    m_text = std::move(*text);
    return parseGatewaySettings(m_text);
}

std::vector<std::string> keysRequiringRestart(const GatewaySettings &before,
                                              const GatewaySettings &after)
{
    std::vector<std::string> keys;
    const auto compare = [&keys](std::string name, const auto &a, const auto &b) {
        if (!(a == b))
            keys.push_back(std::move(name));
    };
    compare("node.name", before.nodeName, after.nodeName);
    compare("node.domain", before.domain, after.domain);
    compare("listen.callers", before.callers, after.callers);
    compare("listen.readiness", before.readiness, after.readiness);
    compare("listen.metrics", before.metrics, after.metrics);
    compare("listen.peers", before.peers, after.peers);
    compare("store.address", before.storeAddress, after.storeAddress);
    compare("limits.max_descriptors", before.maxDescriptors, after.maxDescriptors);
    compare("limits.memory_mb", before.memoryMb, after.memoryMb);
    compare("duties", before.duties, after.duties);
    compare("retries.window_s", before.retryWindow, after.retryWindow);
    return keys;
}

} // namespace hawthornslip
