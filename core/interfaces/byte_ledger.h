#pragma once

#include "core/time.h"

#include <cstddef>

namespace hawthornslip {

/** A connection that holds bytes of callers or upstreams in the memory of the process. */
class ByteHolder
{
public:
    virtual ~ByteHolder() = default;

    /**
     * Asks the holder to give its bytes back, as by closing. Called from within
     * ByteLedger::charge(), so the holder must do so later.
     */
    virtual void reclaimBytes() = 0;
};

/** Keeps the bytes that the process holds for others within its memory. */
class ByteLedger
{
public:
    virtual ~ByteLedger() = default;

    /**
     * Replaces the bytes that @p holder holds; may ask holders to give theirs back.
     *
     * @param now time of the change, which counts as progress of the holder.
     */
    virtual void charge(ByteHolder &holder, std::size_t bytes, TimePoint now) = 0;

    /** Forgets @p holder, which was charged before. */
    virtual void leave(ByteHolder &holder) = 0;

    /** Adds bytes that closing a connection does not give back, such as a body on its way. */
    virtual void hold(std::size_t bytes) = 0;
    virtual void release(std::size_t bytes) = 0;

    /** @return true when a new body of @p bytes may be read. */
    virtual bool admits(std::size_t bytes) const = 0;
};

} // namespace hawthornslip
