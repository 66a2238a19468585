#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace hawthornslip {

/** Why a call to the object store failed. */
enum class StoreError {
    None,
    /** The object does not exist. */
    NotFound,
    /** The expected version is not the current one; nothing was written. */
    Conflict,
    /** The call had no effect: it was not sent, or the store refused it. */
    Unavailable,
    /** No valid response was received; the write may have taken effect. */
    Unknown,
    /** Rejected by the store's rate limit; nothing was written. */
    RateLimited,
};

/** An object and its version, which the store increases with each write. */
struct StoredObject
{
    std::string value;
    std::uint64_t version = 0;
};

/** The result of a get, put or watch. */
struct StoreResult
{
    StoreError error = StoreError::None;
    /** The object; after a write only its version is set. */
    StoredObject object;
    /** Life of the store that the answer names, if it does; rises when it restarts from a copy. */
    std::optional<std::uint64_t> era{};

    bool ok() const { return error == StoreError::None; }
};

/** The platform's object store. Calls do not block; callbacks run on a driver thread. */
class ObjectStore
{
public:
    using Callback = std::function<void(const StoreResult &)>;

    virtual ~ObjectStore() = default;

    /** Reads the object with the key @p key. */
    virtual void get(const std::string &key, Callback done) = 0;

    /**
     * Writes @p value if the object's current version is @p expectedVersion (compare-and-swap).
     *
     * @param expectedVersion 0 means that the object must not exist.
     * @param done receives the new version, or Conflict, Unavailable, RateLimited or Unknown.
     */
    virtual void put(const std::string &key, const std::string &value,
                     std::uint64_t expectedVersion, Callback done) = 0;

    /**
     * Long poll: waits until the object's version is greater than @p afterVersion.
     *
     * @param timeout longest wait; on expiry @p done receives NotFound or the unchanged object.
     */
    virtual void watch(const std::string &key, std::uint64_t afterVersion, Duration timeout,
                       Callback done) = 0;
};

} // namespace hawthornslip
