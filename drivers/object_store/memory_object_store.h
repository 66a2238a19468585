#pragma once

#include "core/interfaces/object_store.h"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hawthornslip {

/**
 * An object store inside the process, for a node that runs alone and for tests. It follows the same
 * rules as the platform's store, but its contents end with the process.
 */
class MemoryObjectStore : public ObjectStore
{
public:
    /** Largest value that is stored; the platform's store has the same bound. */
    static constexpr std::size_t kMaxValueBytes = 1U << 20;

    /** Starts the thread that runs the callbacks. */
    MemoryObjectStore();
    /** Ends the thread; callbacks that wait are dropped. */
    ~MemoryObjectStore() override;

    MemoryObjectStore(const MemoryObjectStore &) = delete;
    MemoryObjectStore &operator=(const MemoryObjectStore &) = delete;

    void get(const std::string &key, Callback done) override;
    void put(const std::string &key, const std::string &value, std::uint64_t expectedVersion,
             Callback done) override;
    void watch(const std::string &key, std::uint64_t afterVersion, Duration timeout,
               Callback done) override;

private:
    using WallTime = std::chrono::steady_clock::time_point;

    struct Answer
    {
        Callback done;
        StoreResult result;
    };

    struct Watch
    {
        std::string key;
        std::uint64_t afterVersion = 0;
        WallTime deadline;
        Callback done;
    };

    StoreResult read(const std::string &key) const;
    void answerWatches(const std::string &key);
    void answerExpiredWatches(WallTime now);
    WallTime nextDeadline() const;
    void runCallbacks();

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, StoredObject> m_objects;
    std::vector<Watch> m_watches;
    std::vector<Answer> m_answers;
    std::uint64_t m_lastVersion = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace hawthornslip
