#pragma once

#include "core/interfaces/object_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hawthornslip::test {

/** An object store that answers in the call, or when a test lets it. */
class DirectStore : public ObjectStore
{
public:
    void get(const std::string &key, Callback done) override
    {
        ++calls;
        if (isDown)
            return;
        const auto it = objects.find(key);
        StoreResult result{it == objects.end() ? StoreError::NotFound : StoreError::None,
                           it == objects.end() ? StoredObject() : it->second, era};
        answer(std::move(done), result);
    }

    void put(const std::string &key, const std::string &value, std::uint64_t expectedVersion,
             Callback done) override
    {
        ++calls;
        if (isDown)
            return;
        auto &object = objects[key];
        StoreResult result{StoreError::Conflict, {}, era};
        if (object.version == expectedVersion) {
            object = {value, ++revision};
            result = {StoreError::None, {{}, revision}, era};
        }
        if (!std::exchange(losesAnswer, false))
            answer(std::move(done), result);
    }

    void watch(const std::string & /*key*/, std::uint64_t /*afterVersion*/, Duration /*timeout*/,
               Callback done) override
    {
        done({StoreError::Unavailable, {}, {}});
    }

    /** Answers the calls that were kept while isSlow was set. */
    void answerKept()
    {
        for (const auto &it : std::exchange(m_kept, {}))
            it();
    }

    std::map<std::string, StoredObject> objects;
    std::uint64_t revision = 0;
    std::optional<std::uint64_t> era;
    std::size_t calls = 0;
    /** Calls get no answer. */
    bool isDown = false;
    /** Answers wait for answerKept(). */
    bool isSlow = false;
    /** The next write happens, but its answer is lost. */
    bool losesAnswer = false;

private:
    void answer(Callback done, const StoreResult &result)
    {
        if (isSlow)
            m_kept.emplace_back([done = std::move(done), result] { done(result); });
        else
            done(result);
    }

    std::vector<std::function<void()>> m_kept;
};

} // namespace hawthornslip::test
