#include "servers/duties/usage_backup.h"

#include "modules/usage/usage_draft.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

constexpr Duration kSaveInterval = seconds(1);
constexpr Duration kRetryDelay = milliseconds(300);
// Larger copies are written less often, as the link of a node may be slow.
constexpr std::int64_t kBytesPerInterval = 32 << 10;

} // namespace

UsageBackup::UsageBackup(EventLoop &loop, ObjectStore &store, UsageCollector &collector,
                         std::function<void(std::uint64_t)> eraSeen)
    : m_loop(loop)
    , m_store(store)
    , m_collector(collector)
    , m_eraSeen(std::move(eraSeen))
{}

void UsageBackup::enterEra(std::uint64_t era)
{
    if (std::exchange(m_era, era) == era)
        return;
    m_isCalling = false;
    reset();
}

void UsageBackup::reset()
{
    m_isLoaded = false;
    m_saved.clear();
    m_notBefore = TimePoint{};
}

void UsageBackup::update(std::uint64_t first)
{
    if (m_isCalling || m_loop.now() < m_notBefore)
        return;
    if (!m_isLoaded) {
        read();
        return;
    }
    std::string text = encodeUsageDraft(m_collector.counts(), first);
    if (!text.empty() && text != m_saved)
        write(std::move(text));
}

void UsageBackup::read()
{
    m_isCalling = true;
    m_store.get(key(), guarded([this](const StoreResult &result) { onRead(result); }));
}

void UsageBackup::write(std::string text)
{
    m_isCalling = true;
    const auto size = static_cast<std::int64_t>(text.size());
    m_notBefore = m_loop.now() + std::max(kSaveInterval, kSaveInterval * size / kBytesPerInterval);
    m_store.put(key(), text, m_version,
                guarded([this, text](const StoreResult &result) { onWritten(result, text); }));
}

void UsageBackup::onRead(const StoreResult &result)
{
    if (!result.ok() && result.error != StoreError::NotFound) {
        m_notBefore = m_loop.now() + kRetryDelay;
        return;
    }
    m_version = result.ok() ? result.object.version : 0;
    if (const auto starts = result.ok() ? decodeUsageDraft(result.object.value) : std::nullopt) {
        for (const auto &[start, counts] : *starts)
            m_collector.onCounts(start.first, start.second, counts);
    }
    m_isLoaded = true;
}

void UsageBackup::onWritten(const StoreResult &result, std::string text)
{
    if (result.ok()) {
        m_version = result.object.version;
        m_saved = std::move(text);
    } else if (result.error != StoreError::Unavailable && result.error != StoreError::RateLimited) {
        // Another node has written, or this write has taken effect without an answer.
        m_isLoaded = false;
        m_notBefore = std::min(m_notBefore, m_loop.now() + kRetryDelay);
    }
}

ObjectStore::Callback UsageBackup::guarded(ObjectStore::Callback done)
{
    return [this, alive = std::weak_ptr(m_alive), era = m_era,
            done = std::move(done)](const StoreResult &result) {
        if (alive.expired() || era != m_era)
            return;
        m_isCalling = false;
        if (result.era && *result.era != era)
            m_eraSeen(*result.era);
        else
            done(result);
    };
}

std::string UsageBackup::key() const
{
    return fmt::format("router-usage/counts-{}", m_era);
}

} // namespace hawthornslip
