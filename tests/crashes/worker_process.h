#pragma once

#include "core/time.h"
#include "tests/crashes/crash_table.h"

#include <sys/types.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace hawthornslip::crashes {

/** What the processes of the workers tell the process that started them, in shared memory. */
struct SharedLog
{
    static constexpr std::size_t kMaxArrivals = 4096;

    /** Deadly requests that have arrived. */
    std::atomic<std::size_t> arrivals{0};
    std::array<std::atomic<std::int64_t>, kMaxArrivals> arrivedAtUs{};
    /** Sound requests that have arrived. */
    std::atomic<std::size_t> soundArrivals{0};
};

/** @return a log in memory that child processes share. */
SharedLog *makeSharedLog();

/** @return the time that all processes share, in microseconds. */
std::int64_t sharedNowUs();

/**
 * Starts a process that serves on @p listener as the upstream @p id, and ends as @p row says when
 * it begins to answer a deadly request. The descriptor stays open in the caller.
 *
 * @param seed of what it draws.
 * @return the id of the process.
 */
pid_t startWorkerProcess(int listener, const CrashRow &row, const std::string &id,
                         std::uint64_t seed, SharedLog &log);

} // namespace hawthornslip::crashes
