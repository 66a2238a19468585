#pragma once

#include "core/interfaces/object_store.h"
#include "core/time.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace hawthornslip::standin {

/** The objects of the platform stand-in, with versions, conditional writes and watches. */
class VersionedStore
{
public:
    /** @return the object, or nothing. */
    std::optional<StoredObject> get(const std::string &key) const;

    /**
     * Writes when the object's version is @p expected (0: it must not exist).
     *
     * @return the new version, or nothing on a conflict.
     */
    std::optional<std::uint64_t> put(const std::string &key, const std::string &value,
                                     std::uint64_t expected);

    /** Writes unconditionally, as an outside hand would. @return the new version. */
    std::uint64_t overwrite(const std::string &key, const std::string &value);

    /** Waits until the version is above @p after. @return the object, or nothing at the timeout. */
    std::optional<StoredObject> watch(const std::string &key, std::uint64_t after,
                                      Duration timeout);

    /** Ends all watches, also those that start later until reopened. */
    void close(bool closed);

    /** @return the number of objects whose key begins with @p prefix. */
    std::size_t count(const std::string &prefix) const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, StoredObject> m_objects;
    std::uint64_t m_lastVersion = 0;
    bool m_closed = false;
};

} // namespace hawthornslip::standin
