#pragma once

#include "core/interfaces/object_store.h"
#include "tests/support/sim_events.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace hawthornslip::test {

/** What is wrong with the store, or with one node's way to it. */
struct StoreFaults
{
    /** Calls are refused without effect. */
    bool down = false;
    /** Calls get no answer; a write takes effect or not, as @c unknownTakesEffect says. */
    bool silent = false;
    bool unknownTakesEffect = true;
    /** The answers to this many writes are lost after the write took effect. */
    int loseWriteAnswers = 0;
    /** This many writes take effect only after the caller gave up waiting. */
    int delayWrites = 0;
    /** This many calls are refused for their rate. */
    int rateLimit = 0;
    Duration latency = milliseconds(2);
};

/** The platform's store in virtual time, shared by all nodes of a run. */
class SimStore
{
public:
    explicit SimStore(SimEvents &events)
        : m_events(events)
    {}

    /** Calls that reached the store, by the part of the key before the first slash. */
    struct Counts
    {
        int reads = 0;
        int writes = 0;
        int conflicts = 0;
    };

    StoreFaults faults;
    std::map<std::string, Counts> counts;
    std::map<std::string, StoredObject> objects;

    /** How long a caller waits for an answer. */
    Duration timeout = seconds(2);

    /** Runs a read at the store and answers through @p answer. */
    void read(const std::string &key, const StoreFaults &way, ObjectStore::Callback answer)
    {
        if (refuse(way, answer))
            return;
        m_events.after(delay(way), [this, key, way, answer = std::move(answer)]() mutable {
            ++countOf(key).reads;
            const auto it = objects.find(key);
            StoreResult result{StoreError::NotFound, {}};
            if (it != objects.end())
                result = {StoreError::None, it->second};
            m_events.after(delay(way), [answer = std::move(answer), result] { answer(result); });
        });
    }

    /** Runs a write at the store and answers through @p answer. */
    void write(const std::string &key, const std::string &value, std::uint64_t expected,
               const StoreFaults &way, ObjectStore::Callback answer)
    {
        if (faults.delayWrites > 0) {
            --faults.delayWrites;
            giveUp(answer);
            m_events.after(timeout * 2,
                           [this, key, value, expected] { commit(key, value, expected); });
            return;
        }
        const bool takesEffect = !isSilent(way) || faults.unknownTakesEffect;
        if (isSilent(way) && takesEffect)
            m_events.after(delay(way),
                           [this, key, value, expected] { commit(key, value, expected); });
        if (refuse(way, answer))
            return;
        m_events.after(delay(way), [this, key, value, expected, way,
                                    answer = std::move(answer)]() mutable {
            const auto result = commit(key, value, expected);
            if (faults.loseWriteAnswers > 0 && result.ok()) {
                --faults.loseWriteAnswers;
                giveUp(answer);
                return;
            }
            m_events.after(delay(way), [answer = std::move(answer), result] { answer(result); });
        });
    }

    /** Answers as soon as the version is above @p after, or at the timeout. */
    void watch(const std::string &key, std::uint64_t after, Duration wait, const StoreFaults &way,
               ObjectStore::Callback answer)
    {
        if (refuse(way, answer))
            return;
        const auto it = objects.find(key);
        if (it != objects.end() && it->second.version > after) {
            ++countOf(key).reads;
            m_events.after(delay(way), [answer, object = it->second] {
                answer({StoreError::None, object});
            });
            return;
        }
        const auto id = ++m_lastWatch;
        m_watches[id] = {key, after, std::move(answer)};
        m_events.after(wait, [this, id] { endWatch(id); });
    }

private:
    struct Watch
    {
        std::string key;
        std::uint64_t after = 0;
        ObjectStore::Callback answer;
    };

    void endWatch(std::uint64_t id)
    {
        const auto watch = m_watches.find(id);
        if (watch == m_watches.end())
            return;
        const auto done = std::move(watch->second);
        m_watches.erase(watch);
        ++countOf(done.key).reads;
        const auto it = objects.find(done.key);
        if (faults.down || faults.silent)
            done.answer({StoreError::Unavailable, {}});
        else if (it == objects.end())
            done.answer({StoreError::NotFound, {}});
        else
            done.answer({StoreError::None, it->second});
    }

    void answerWatches(const std::string &key)
    {
        // A store that is out tells nobody of a change.
        if (faults.down || faults.silent)
            return;
        for (const auto &[id, watch] : m_watches) {
            if (watch.key == key)
                m_events.after(faults.latency / 2, [this, id = id] { endWatch(id); });
        }
    }

    bool isSilent(const StoreFaults &way) const { return way.silent || faults.silent; }

    Duration delay(const StoreFaults &way) const { return (faults.latency + way.latency) / 2; }

    void giveUp(const ObjectStore::Callback &answer)
    {
        m_events.after(timeout, [answer] { answer({StoreError::Unknown, {}}); });
    }

    bool refuse(const StoreFaults &way, const ObjectStore::Callback &answer)
    {
        StoreError error = StoreError::None;
        if (way.down || faults.down)
            error = StoreError::Unavailable;
        else if (faults.rateLimit > 0)
            error = StoreError::RateLimited;
        if (error == StoreError::RateLimited)
            --faults.rateLimit;
        if (error != StoreError::None) {
            m_events.after(delay(way), [answer, error] { answer({error, {}}); });
            return true;
        }
        if (isSilent(way)) {
            giveUp(answer);
            return true;
        }
        return false;
    }

    StoreResult commit(const std::string &key, const std::string &value, std::uint64_t expected)
    {
        ++countOf(key).writes;
        auto it = objects.find(key);
        const std::uint64_t version = it == objects.end() ? 0 : it->second.version;
        if (version != expected) {
            ++countOf(key).conflicts;
            return {StoreError::Conflict, {}};
        }
        objects[key] = {value, ++m_lastVersion};
        answerWatches(key);
        return {StoreError::None, {"", m_lastVersion}};
    }

    Counts &countOf(const std::string &key) { return counts[key.substr(0, key.find('/'))]; }

    SimEvents &m_events;
    std::uint64_t m_lastVersion = 0;
    std::uint64_t m_lastWatch = 0;
    std::map<std::uint64_t, Watch> m_watches;
};

/** One node's way to the store. Callbacks of a node that crashed are dropped. */
class SimStoreClient : public ObjectStore
{
public:
    SimStoreClient(SimStore &store, std::shared_ptr<const bool> alive)
        : m_store(store)
        , m_alive(std::move(alive))
    {}

    /** Faults of this node's way only. */
    StoreFaults way;
    /** Called before each write, for harnesses that inject faults at this point. */
    std::function<void(const std::string &key, const std::string &value)> onPut;

    void get(const std::string &key, Callback done) override
    {
        m_store.read(key, way, guarded(std::move(done)));
    }

    void put(const std::string &key, const std::string &value, std::uint64_t expectedVersion,
             Callback done) override
    {
        if (onPut)
            onPut(key, value);
        m_store.write(key, value, expectedVersion, way, guarded(std::move(done)));
    }

    void watch(const std::string &key, std::uint64_t afterVersion, Duration timeout,
               Callback done) override
    {
        m_store.watch(key, afterVersion, timeout, way, guarded(std::move(done)));
    }

private:
    Callback guarded(Callback done) const
    {
        return [alive = m_alive, done = std::move(done)](const StoreResult &result) {
            if (*alive)
                done(result);
        };
    }

    SimStore &m_store;
    std::shared_ptr<const bool> m_alive;
};

} // namespace hawthornslip::test
