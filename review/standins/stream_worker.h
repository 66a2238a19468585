#pragma once

#include <cstdint>
#include <string>

namespace hawthornslip::review {

/** Events of each stream of a stream worker; their ids are 1 to this. */
inline constexpr std::uint64_t kStreamEvents = 40;
/** One answer of this many comes with neither a length nor chunks. */
inline constexpr int kUnframedEach = 20;

/** Where and how a stream worker runs. */
struct StreamWorkerOptions
{
    std::string id;
    /** Port on loopback. */
    std::uint16_t port = 0;
    /** Gets a line for each run. */
    std::string recordPath;
    /** Start of the record on the boot-time clock, in microseconds. */
    std::int64_t recordStart = 0;
};

/**
 * Runs a model worker until the process is killed. Every event is a line with its id and a line
 * with the attempt, written at once.
 */
void runStreamWorker(const StreamWorkerOptions &options);

} // namespace hawthornslip::review
