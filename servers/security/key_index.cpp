#include "servers/security/key_index.h"

#include "servers/security/key_hasher.h"

#include <utility>

namespace hawthornslip {

namespace {

// Long enough to make collisions rare. The lookup time may depend on these digits of the hash,
// which reveal nothing about the key.
constexpr std::size_t kPrefixDigits = 16;

} // namespace

KeyIndex::KeyIndex(std::shared_ptr<const SharedConfig> config)
    : m_config(std::move(config))
{
    for (const auto &workspace : m_config->workspaces) {
        for (const auto &hash : workspace.keyHashes)
            m_workspaces.emplace(std::string_view(hash).substr(0, kPrefixDigits), &workspace);
    }
}

const Workspace *KeyIndex::find(std::string_view key) const
{
    const auto hash = KeyHasher::hash(key);
    const auto [first, last] =
            m_workspaces.equal_range(std::string_view(hash).substr(0, kPrefixDigits));
    const Workspace *found = nullptr;
    for (auto it = first; it != last; ++it) {
        if (KeyHasher::matchesAny(hash, it->second->keyHashes))
            found = it->second;
    }
    return found;
}

std::shared_ptr<const KeyIndex>
KeyIndexCache::get(const std::shared_ptr<const SharedConfig> &config)
{
    const std::lock_guard lock(m_mutex);
    if (!m_latest || m_latest->config() != config)
        m_latest = std::make_shared<KeyIndex>(config);
    return m_latest;
}

} // namespace hawthornslip
