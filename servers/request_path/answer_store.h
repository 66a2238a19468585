#pragma once

#include "core/ids.h"
#include "core/interfaces/http_server.h"
#include "core/time.h"

#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace hawthornslip {

/** A whole answer to a keyed request. */
struct StoredAnswer
{
    std::uint64_t bodyHash = 0;
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/** Keeps answers of keyed requests for a bounded time and number of bytes. Thread-safe. */
class AnswerStore
{
public:
    /**
     * @param maxBytes bound on the bytes of all bodies; the oldest answers go first.
     * @param maxAge how long an answer is kept.
     */
    AnswerStore(std::size_t maxBytes, Duration maxAge);

    /** Keeps @p answer, unless it is larger than the store. */
    void put(const WorkspaceId &workspace, const std::string &key, StoredAnswer answer,
             TimePoint now);

    /** @return the answer to @p key of @p workspace while it is kept. */
    std::optional<StoredAnswer> find(const WorkspaceId &workspace, const std::string &key,
                                     TimePoint now);

    /** @return the bytes of all bodies kept. */
    std::size_t bytes() const;

private:
    using Key = std::pair<WorkspaceId, std::string>;
    struct Entry
    {
        Key key;
        StoredAnswer answer;
        TimePoint storedAt;
    };
    using Entries = std::list<Entry>;

    void erase(Entries::iterator entry);
    void expire(TimePoint now);

    const std::size_t m_maxBytes;
    const Duration m_maxAge;
    mutable std::mutex m_mutex;
    /** Oldest first. */
    Entries m_entries;
    std::map<Key, Entries::iterator> m_index;
    std::size_t m_bytes = 0;
};

} // namespace hawthornslip
