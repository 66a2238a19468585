#include "tests/standins/run_log.h"

#include "core/enum_names.h"

#include <nlohmann/json.hpp>

namespace hawthornslip::standin {

namespace {

constexpr EnumNames<RunState, 4> kRunStateNames = {{
        {RunState::Running, "running"},
        {RunState::Done, "done"},
        {RunState::Cancelled, "cancelled"},
        {RunState::Broken, "broken"},
}};

} // namespace

std::size_t RunLog::begin(const std::string &requestId, const std::string &key,
                          const std::string &marker)
{
    const std::lock_guard lock(m_mutex);
    m_records.push_back({requestId, key, marker, 0, RunState::Running});
    return m_records.size() - 1;
}

void RunLog::countToken(std::size_t run)
{
    const std::lock_guard lock(m_mutex);
    ++m_records[run].tokens;
}

void RunLog::end(std::size_t run, RunState state)
{
    const std::lock_guard lock(m_mutex);
    m_records[run].state = state;
}

void RunLog::endAll(RunState state)
{
    const std::lock_guard lock(m_mutex);
    for (auto &it : m_records) {
        if (it.state == RunState::Running)
            it.state = state;
    }
}

std::vector<RunRecord> RunLog::records() const
{
    const std::lock_guard lock(m_mutex);
    return m_records;
}

std::string RunLog::toJson() const
{
    auto runs = nlohmann::json::array();
    for (const auto &it : records()) {
        runs.push_back({{"request_id", it.requestId},
                        {"idempotency_key", it.idempotencyKey},
                        {"user", it.marker},
                        {"tokens", it.tokens},
                        {"state", nameOf(kRunStateNames, it.state)}});
    }
    return nlohmann::json{{"runs", runs}}.dump();
}

} // namespace hawthornslip::standin
