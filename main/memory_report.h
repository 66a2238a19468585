#pragma once

#include "core/interfaces/metrics.h"
#include "modules/memory/byte_account.h"

#include <cstdint>

namespace hawthornslip {

/**
 * Lets the allocator map each large buffer on its own, so that its memory returns to the system
 * when it is freed. Otherwise the remains of bodies of all sizes add up in the heap.
 */
void mapLargeBuffers();

/** The account of the bytes that the process holds for others, with its metrics. */
class MemoryReport
{
public:
    /** @param memoryMb memory of the process in MiB, 0 when it is not known. */
    explicit MemoryReport(std::uint32_t memoryMb)
        : m_account(byteLimits(memoryMb))
    {}

    ByteAccount &account() { return m_account; }

    /** Writes the metrics of the account. */
    void write(Metrics &metrics);

private:
    ByteAccount m_account;
    std::uint64_t m_reportedReclaims = 0;
};

} // namespace hawthornslip
