#pragma once

#include "core/profile.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace hawthornslip {

/**
 * Holds the configuration in force. Each thread caches a reference and only compares a version
 * number while nothing changes, so that readers write to no shared cache line.
 */
class ConfigSnapshot
{
public:
    /** Starts with an empty configuration of generation 0. */
    ConfigSnapshot();

    ConfigSnapshot(const ConfigSnapshot &) = delete;
    ConfigSnapshot &operator=(const ConfigSnapshot &) = delete;

    /** Puts @p config in force; may be called from any thread. */
    void set(std::shared_ptr<const SharedConfig> config);

    /** @return the configuration in force, never null; may be called from any thread. */
    std::shared_ptr<const SharedConfig> get() const;

private:
    const std::uint64_t m_id;
    std::atomic<std::uint64_t> m_version{1};
    mutable std::mutex m_mutex;
    std::shared_ptr<const SharedConfig> m_config;
};

} // namespace hawthornslip
