#pragma once

#include "core/profile.h"

#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/** Finds the workspaces of one configuration snapshot by the hash of their keys. */
class KeyIndex
{
public:
    explicit KeyIndex(std::shared_ptr<const SharedConfig> config);

    /** @return the workspace that @p key belongs to, or nullptr. */
    const Workspace *find(std::string_view key) const;

    const std::shared_ptr<const SharedConfig> &config() const { return m_config; }

private:
    std::shared_ptr<const SharedConfig> m_config;
    /** Keyed by a prefix of the hash; each candidate is then compared in constant time. */
    std::unordered_multimap<std::string_view, const Workspace *> m_workspaces;
};

/** Keeps the index of the latest snapshot. Thread-safe. */
class KeyIndexCache
{
public:
    /** @return the index of @p config; built anew when @p config differs from the last call's. */
    std::shared_ptr<const KeyIndex> get(const std::shared_ptr<const SharedConfig> &config);

private:
    std::mutex m_mutex;
    std::shared_ptr<const KeyIndex> m_latest;
};

} // namespace hawthornslip
