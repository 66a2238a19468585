#pragma once

#include "core/interfaces/event_loop.h"
#include "core/interfaces/object_store.h"
#include "modules/usage/usage_collector.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hawthornslip {

/**
 * Keeps a copy of the collected counts in the store at the holder of the duty, so that the next
 * holder finds them when this one and the nodes that counted have ended. The copy is a help only: a
 * lost one loses counts and nothing else.
 */
class UsageBackup
{
public:
    /**
     * @param collector gets the counts that the store holds; all must outlive this object.
     * @param eraSeen is called with the era that an answer of the store names.
     */
    UsageBackup(EventLoop &loop, ObjectStore &store, UsageCollector &collector,
                std::function<void(std::uint64_t)> eraSeen);

    /** Turns to the object of @p era of the store. */
    void enterEra(std::uint64_t era);

    /** Reads the copy again before the next write, as another node may have held the duty. */
    void reset();

    /** Reads the copy or writes it, if that is due. @param first earlier windows are left out. */
    void update(std::uint64_t first);

    /** @return true when the collector has the counts of the copy. */
    bool isLoaded() const { return m_isLoaded; }

private:
    void read();
    void write(std::string text);
    void onRead(const StoreResult &result);
    void onWritten(const StoreResult &result, std::string text);
    std::string key() const;
    /** @return a callback that drops results of earlier eras. */
    ObjectStore::Callback guarded(ObjectStore::Callback done);

    EventLoop &m_loop;
    ObjectStore &m_store;
    UsageCollector &m_collector;
    std::function<void(std::uint64_t)> m_eraSeen;
    std::uint64_t m_era = 0;
    std::uint64_t m_version = 0;
    bool m_isLoaded = false;
    bool m_isCalling = false;
    TimePoint m_notBefore{};
    std::string m_saved;
    /** Expires with this object, so that later results are dropped. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hawthornslip
