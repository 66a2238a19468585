#include "tests/standins/versioned_store.h"

namespace hawthornslip::standin {

std::optional<StoredObject> VersionedStore::get(const std::string &key) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_objects.find(key);
    if (it == m_objects.end())
        return std::nullopt;
    return it->second;
}

std::optional<std::uint64_t> VersionedStore::put(const std::string &key, const std::string &value,
                                                 std::uint64_t expected)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_objects.find(key);
    const std::uint64_t current = it == m_objects.end() ? 0 : it->second.version;
    if (current != expected)
        return std::nullopt;
    m_objects[key] = {value, ++m_lastVersion};
    m_changed.notify_all();
    return m_lastVersion;
}

std::uint64_t VersionedStore::overwrite(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_objects[key] = {value, ++m_lastVersion};
    m_changed.notify_all();
    return m_lastVersion;
}

std::optional<StoredObject> VersionedStore::watch(const std::string &key, std::uint64_t after,
                                                  Duration timeout)
{
    std::unique_lock lock(m_mutex);
    const auto newer = [&] {
        const auto it = m_objects.find(key);
        return it != m_objects.end() && it->second.version > after;
    };
    m_changed.wait_for(lock, timeout, [&] { return newer() || m_closed; });
    if (!newer())
        return std::nullopt;
    return m_objects.at(key);
}

void VersionedStore::close(bool closed)
{
    {
        const std::lock_guard lock(m_mutex);
        m_closed = closed;
    }
    m_changed.notify_all();
}

std::size_t VersionedStore::count(const std::string &prefix) const
{
    const std::lock_guard lock(m_mutex);
    std::size_t n = 0;
    for (auto it = m_objects.lower_bound(prefix);
         it != m_objects.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it)
        ++n;
    return n;
}

} // namespace hawthornslip::standin
