#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hawthornslip::standin {

/** How far a run of a request came. */
enum class RunState { Running, Done, Cancelled, Broken };

/** One run of a request at an upstream; a request that ran twice has two. */
struct RunRecord
{
    std::string requestId;
    std::string idempotencyKey;
    /** The caller's own mark, from the body field `user`. */
    std::string marker;
    std::uint32_t tokens = 0;
    RunState state = RunState::Running;
};

/** All runs of one upstream, for finding duplicates; survives the upstream's crash. */
class RunLog
{
public:
    /** Adds a run. @return its number, for the calls below. */
    std::size_t begin(const std::string &requestId, const std::string &key,
                      const std::string &marker);

    /** Counts a generated token. */
    void countToken(std::size_t run);

    /** Sets how a run ended. */
    void end(std::size_t run, RunState state);

    /** Ends all runs in progress with @p state. */
    void endAll(RunState state);

    /** @return a copy of all runs. */
    std::vector<RunRecord> records() const;

    /** @return the runs as the JSON of `GET /runs`. */
    std::string toJson() const;

private:
    mutable std::mutex m_mutex;
    std::vector<RunRecord> m_records;
};

} // namespace hawthornslip::standin
