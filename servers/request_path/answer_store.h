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

/** The complete answer to a request with an idempotency key. */
struct StoredAnswer
{
    std::uint64_t bodyHash = 0;
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/** Stores answers by idempotency key, bounded in age and total bytes. Thread-safe. */
class AnswerStore
{
public:
    /**
     * @param maxBytes bound on the bytes of all bodies; the oldest answers are evicted first.
     * @param maxAge how long an answer is kept.
     */
    AnswerStore(std::size_t maxBytes, Duration maxAge);

    /** Stores @p answer, unless its body is larger than the store's bound. */
    void put(const WorkspaceId &workspace, const std::string &key, StoredAnswer answer,
             TimePoint now);

    /** @return the stored answer for @p key of @p workspace, or nothing. */
    std::optional<StoredAnswer> find(const WorkspaceId &workspace, const std::string &key,
                                     TimePoint now);

    /** @return the total bytes of all stored bodies. */
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
