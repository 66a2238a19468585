#include "servers/config/config_snapshot.h"

#include <utility>
#include <vector>

namespace hawthornslip {

namespace {

std::atomic<std::uint64_t> nextId{1};

/** The configuration that a thread last read from one snapshot. */
struct CachedConfig
{
    std::uint64_t id = 0;
    std::uint64_t version = 0;
    std::shared_ptr<const SharedConfig> config;
};

// In the daemon a thread reads one snapshot; programs that run several nodes read a few.
constexpr std::size_t kMaxCachedSnapshots = 16;

CachedConfig &cachedConfigOf(std::uint64_t id)
{
    thread_local std::vector<CachedConfig> cache;
    for (auto &it : cache) {
        if (it.id == id)
            return it;
    }
    if (cache.size() >= kMaxCachedSnapshots)
        cache.clear();
    cache.push_back({id, 0, nullptr});
    return cache.back();
}

} // namespace

ConfigSnapshot::ConfigSnapshot()
    : m_id(nextId.fetch_add(1, std::memory_order_relaxed))
    , m_config(std::make_shared<const SharedConfig>())
{}

void ConfigSnapshot::set(std::shared_ptr<const SharedConfig> config)
{
    const std::lock_guard lock(m_mutex);
    m_config = std::move(config);
    m_version.fetch_add(1, std::memory_order_release);
}

std::shared_ptr<const SharedConfig> ConfigSnapshot::get() const
{
    CachedConfig &cached = cachedConfigOf(m_id);
    if (cached.version == m_version.load(std::memory_order_acquire))
        return cached.config;
    const std::lock_guard lock(m_mutex);
    cached.version = m_version.load(std::memory_order_relaxed);
    // A control block per thread avoids contention on one shared reference count.
    auto holder = std::make_shared<std::shared_ptr<const SharedConfig>>(m_config);
    cached.config = std::shared_ptr<const SharedConfig>(holder, holder->get());
    return cached.config;
}

} // namespace hawthornslip
