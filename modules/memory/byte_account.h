#pragma once

#include "core/interfaces/byte_ledger.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace hawthornslip {

/** Bounds of a ByteAccount in bytes. */
struct ByteLimits
{
    /** New large bodies are refused when they would take the account beyond this. */
    std::size_t soft = 0;
    /** Beyond this, holders of many bytes are reclaimed; the rest is kept for small requests. */
    std::size_t large = 0;
    /** Beyond this, any holder is reclaimed. */
    std::size_t hard = 0;

    bool operator==(const ByteLimits &) const = default;
};

/**
 * @param memoryMb memory that the process may use in MiB, 0 when it is not known.
 * @return bounds that leave half of the memory to the program itself.
 */
ByteLimits byteLimits(std::uint32_t memoryMb);

/** The account of all bytes that a process holds for others. Chooses who must give bytes back. */
class ByteAccount : public ByteLedger
{
public:
    /** A request of at most this size is small. */
    static constexpr std::size_t kSmallBytes = 64 << 10;

    explicit ByteAccount(const ByteLimits &limits)
        : m_limits(limits)
    {}

    void charge(ByteHolder &holder, std::size_t bytes, TimePoint now) override;
    void leave(ByteHolder &holder) override;
    void hold(std::size_t bytes) override { m_total += bytes; }
    void release(std::size_t bytes) override { m_total -= bytes; }
    bool admits(std::size_t bytes) const override;

    /** @return bytes held at present. */
    std::size_t total() const { return m_total; }
    /** @return holders that were asked to give their bytes back. */
    std::uint64_t reclaimed() const { return m_reclaimed; }
    const ByteLimits &limits() const { return m_limits; }

private:
    struct Entry
    {
        std::size_t bytes = 0;
        TimePoint progressAt{};
        bool isReclaimed = false;
    };
    using Entries = std::unordered_map<ByteHolder *, Entry>;

    void reclaim(TimePoint now);
    Entries::iterator chooseVictim(std::size_t minBytes, TimePoint now);

    ByteLimits m_limits;
    Entries m_entries;
    std::size_t m_total = 0;
    /** Bytes of holders that were asked and have not given them back yet. */
    std::size_t m_returning = 0;
    std::uint64_t m_reclaimed = 0;
};

} // namespace hawthornslip
