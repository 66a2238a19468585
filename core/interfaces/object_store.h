#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace hawthornslip {

/** Why a call to the object store gave no result. */
enum class StoreError {
    None,
    /** The object does not exist. */
    NotFound,
    /** The version given is not the current one; nothing was written. */
    Conflict,
    /** The call certainly had no effect: not sent, or refused by the store. */
    Unavailable,
    /** No answer came; a write may have taken effect. */
    Unknown,
    /** The store refused the call because of its rate limit; nothing was written. */
    RateLimited,
};

/** An object with the version that the store gave it; versions rise with each write. */
struct StoredObject
{
    std::string value;
    std::uint64_t version = 0;
};

/** The result of a read, a write or a watch. */
struct StoreResult
{
    StoreError error = StoreError::None;
    /** The object read; after a write only its version is set. */
    StoredObject object;

    bool ok() const { return error == StoreError::None; }
};

/** The platform's object store. Calls return at once; callbacks run on a thread of the driver. */
class ObjectStore
{
public:
    using Callback = std::function<void(const StoreResult &)>;

    virtual ~ObjectStore() = default;

    /** Reads the object called @p key. */
    virtual void get(const std::string &key, Callback done) = 0;

    /**
     * Writes @p value when the object's version is @p expectedVersion.
     *
     * @param expectedVersion 0 means that the object must not exist.
     * @param done gets the new version, or Conflict, Unavailable, RateLimited or Unknown.
     */
    virtual void put(const std::string &key, const std::string &value,
                     std::uint64_t expectedVersion, Callback done) = 0;

    /**
     * Waits until the object's version is above @p afterVersion.
     *
     * @param timeout longest wait; then @p done gets NotFound or the unchanged object.
     */
    virtual void watch(const std::string &key, std::uint64_t afterVersion, Duration timeout,
                       Callback done) = 0;
};

} // namespace hawthornslip
