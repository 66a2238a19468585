#include "drivers/object_store/memory_object_store.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

MemoryObjectStore::MemoryObjectStore()
    : m_thread([this] { runCallbacks(); })
{}

MemoryObjectStore::~MemoryObjectStore()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void MemoryObjectStore::get(const std::string &key, Callback done)
{
    {
        const std::lock_guard lock(m_mutex);
        m_answers.push_back({std::move(done), read(key)});
    }
    m_wake.notify_all();
}

void MemoryObjectStore::put(const std::string &key, const std::string &value,
                            std::uint64_t expectedVersion, Callback done)
{
    {
        const std::lock_guard lock(m_mutex);
        StoreResult result;
        const auto it = m_objects.find(key);
        const std::uint64_t version = it == m_objects.end() ? 0 : it->second.version;
        if (value.size() > kMaxValueBytes) {
            result.error = StoreError::Unavailable;
        } else if (version != expectedVersion) {
            result.error = StoreError::Conflict;
        } else {
            result.object.version = ++m_lastVersion;
            m_objects[key] = {value, m_lastVersion};
        }
        m_answers.push_back({std::move(done), result});
        if (result.ok())
            answerWatches(key);
    }
    m_wake.notify_all();
}

void MemoryObjectStore::watch(const std::string &key, std::uint64_t afterVersion, Duration timeout,
                              Callback done)
{
    {
        const std::lock_guard lock(m_mutex);
        auto current = read(key);
        if (current.ok() && current.object.version > afterVersion) {
            m_answers.push_back({std::move(done), std::move(current)});
        } else {
            const auto deadline = std::chrono::steady_clock::now() + timeout;
            m_watches.push_back({key, afterVersion, deadline, std::move(done)});
        }
    }
    m_wake.notify_all();
}

StoreResult MemoryObjectStore::read(const std::string &key) const
{
    const auto it = m_objects.find(key);
    if (it == m_objects.end())
        return {StoreError::NotFound, {}};
    return {StoreError::None, it->second};
}

void MemoryObjectStore::answerWatches(const std::string &key)
{
    const auto current = read(key);
    const auto waits = [&](const Watch &it) {
        return it.key != key || current.object.version <= it.afterVersion;
    };
    const auto due = std::stable_partition(m_watches.begin(), m_watches.end(), waits);
    for (auto it = due; it != m_watches.end(); ++it)
        m_answers.push_back({std::move(it->done), current});
    m_watches.erase(due, m_watches.end());
}

void MemoryObjectStore::answerExpiredWatches(WallTime now)
{
    const auto due = std::stable_partition(m_watches.begin(), m_watches.end(),
                                           [&](const Watch &it) { return it.deadline > now; });
    for (auto it = due; it != m_watches.end(); ++it)
        m_answers.push_back({std::move(it->done), read(it->key)});
    m_watches.erase(due, m_watches.end());
}

MemoryObjectStore::WallTime MemoryObjectStore::nextDeadline() const
{
    // An idle store wakes once an hour; a new call wakes it earlier.
    auto next = std::chrono::steady_clock::now() + std::chrono::hours(1);
    for (const auto &it : m_watches)
        next = std::min(next, it.deadline);
    return next;
}

void MemoryObjectStore::runCallbacks()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        answerExpiredWatches(std::chrono::steady_clock::now());
        if (m_answers.empty()) {
            m_wake.wait_until(lock, nextDeadline());
            continue;
        }
        auto answers = std::exchange(m_answers, {});
        lock.unlock();
        for (auto &it : answers)
            it.done(it.result);
        lock.lock();
    }
}

} // namespace hawthornslip
