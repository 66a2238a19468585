#include "servers/load_generator/load_generator.h"

#include <algorithm>
#include <thread>

namespace hawthornslip {

namespace {

/** Time without requests after a failed connection, as with a load balancer's health check. */
constexpr Duration kNodeUnavailableTime = seconds(1);
constexpr Duration kProgressInterval = seconds(1);
/** Wait beyond the longest timeout; a request that has not ended by then counts as lost. */
constexpr Duration kEndMargin = seconds(10);

} // namespace

/** One request in flight; its callbacks run on the client's thread. */
class LoadGenerator::Call : public UpstreamHandler
{
public:
    Call(LoadGenerator &owner, std::size_t index, std::size_t node, int attempt)
        : m_owner(owner)
        , m_index(index)
        , m_node(node)
        , m_attempt(attempt)
        , m_checker(makeChecker(owner, index))
    {}

    void onHeaders(int httpStatus,
                   const std::vector<std::pair<std::string, std::string>> &headers) override
    {
        m_outcome.status = httpStatus;
        m_checker.begin(httpStatus);
        for (const auto &[name, value] : headers) {
            if (name == "x-hawthornslip-execution")
                m_execution = value;
        }
    }

    bool onData(std::string_view piece) override
    {
        m_checker.add(piece);
        // An application's answer has no tokens; its first byte counts as its first token.
        const bool first = m_checker.tokens() > 0 || applicationCall();
        if (first && m_outcome.timeToFirstToken.count() == 0)
            m_outcome.timeToFirstToken = sinceArrival();
        return true;
    }

    void onEnd(const UpstreamEnd &end) override
    {
        if (end.result == UpstreamResult::ConnectFailed) {
            m_owner.retryOnNextNode(m_index, m_node, m_attempt);
            return;
        }
        m_checker.finish(end.result == UpstreamResult::Complete);
        m_outcome.totalTime = sinceArrival();
        if (m_outcome.timeToFirstToken.count() == 0)
            m_outcome.timeToFirstToken = m_outcome.totalTime;
        m_outcome.tokens = m_checker.tokens();
        m_outcome.requestId = m_checker.requestId();
        m_outcome.faults = m_checker.faults();
        m_outcome.reason = m_checker.errorCode();
        // An error answer that comes from the upstream may lack the router's error code.
        if (m_outcome.reason == AnswerChecker::kMissingErrorCode)
            m_outcome.reason = "status_" + std::to_string(m_outcome.status);
        m_outcome.execution = m_checker.errorExecution();
        if (m_outcome.execution.empty())
            m_outcome.execution = m_execution;
        m_outcome.result = resultOf(end);
        m_owner.recordOutcome(m_index, m_outcome);
    }

private:
    static AnswerChecker makeChecker(const LoadGenerator &owner, std::size_t index)
    {
        const auto &request = owner.m_plan[index];
        const auto &loadClass = owner.m_spec.classes[request.loadClass];
        if (loadClass.application())
            return {false, request.marker, 0};
        return {loadClass.streamed, "", request.tokens};
    }

    bool applicationCall() const
    {
        return m_owner.m_spec.classes[m_owner.m_plan[m_index].loadClass].application();
    }

    Duration sinceArrival() const
    {
        return m_owner.m_clock.now() - m_owner.m_start - m_owner.m_plan[m_index].at;
    }

    LoadResult resultOf(const UpstreamEnd &end) const
    {
        if (!m_checker.errorCode().empty())
            return LoadResult::Refused;
        if (m_checker.succeeded())
            return LoadResult::Answered;
        const bool timedOut = end.result == UpstreamResult::TotalTimeout;
        return end.result == UpstreamResult::Complete || timedOut ? LoadResult::Lost
                                                                  : LoadResult::Broken;
    }

    LoadGenerator &m_owner;
    std::size_t m_index;
    std::size_t m_node;
    int m_attempt;
    AnswerChecker m_checker;
    LoadOutcome m_outcome;
    std::string m_execution;
};

LoadGenerator::LoadGenerator(LoadSpec spec, UpstreamClient &client, const Clock &clock)
    : m_spec(std::move(spec))
    , m_client(client)
    , m_clock(clock)
    , m_plan(makeLoadPlan(m_spec))
    , m_outcomes(m_plan.size())
    , m_nodeReady(m_spec.nodes.size(), true)
    , m_unavailableUntil(m_spec.nodes.size())
{}

LoadGenerator::~LoadGenerator() = default;

std::vector<LoadOutcome> LoadGenerator::run(const std::function<void(Duration)> &onProgress)
{
    m_start = m_clock.now();
    for (std::size_t i = 0; i < m_plan.size(); ++i) {
        waitUntil(m_start + m_plan[i].at, onProgress);
        send(i, 0);
    }
    waitUntil(m_start + m_spec.duration, onProgress);
    waitForOutcomes(onProgress);
    const std::lock_guard lock(m_mutex);
    return m_outcomes;
}

void LoadGenerator::waitUntil(TimePoint time, const std::function<void(Duration)> &onProgress)
{
    for (auto now = m_clock.now(); now < time; now = m_clock.now()) {
        reportProgress(onProgress);
        std::this_thread::sleep_for(std::min<Duration>(time - now, kProgressInterval));
    }
}

void LoadGenerator::reportProgress(const std::function<void(Duration)> &onProgress)
{
    const auto elapsed = m_clock.now() - m_start;
    if (!onProgress || elapsed < m_lastProgress + kProgressInterval)
        return;
    m_lastProgress = elapsed;
    onProgress(elapsed);
}

bool LoadGenerator::waitForOutcomes(const std::function<void(Duration)> &onProgress)
{
    Duration maxWait = kEndMargin;
    for (const auto &it : m_spec.classes)
        maxWait = std::max(maxWait, it.timeout + kEndMargin);
    const auto end = m_clock.now() + maxWait;
    std::unique_lock lock(m_mutex);
    while (m_endedCount < m_plan.size() && m_clock.now() < end) {
        m_changed.wait_for(lock, kProgressInterval);
        lock.unlock();
        reportProgress(onProgress);
        lock.lock();
    }
    return m_endedCount == m_plan.size();
}

std::size_t LoadGenerator::pickNode(std::size_t preferred)
{
    const std::lock_guard lock(m_mutex);
    const auto now = m_clock.now();
    for (std::size_t i = 0; i < m_nodeReady.size(); ++i) {
        const std::size_t node = (preferred + i) % m_nodeReady.size();
        if (m_nodeReady[node] && m_unavailableUntil[node] <= now)
            return node;
    }
    return preferred;
}

void LoadGenerator::send(std::size_t index, int attempt)
{
    const auto &request = m_plan[index];
    const auto node = pickNode(request.node + static_cast<std::size_t>(attempt));
    auto call = std::make_shared<Call>(*this, index, node, attempt);
    m_client.send(makeLoadCall(m_spec, request, m_spec.nodes[node % m_spec.nodes.size()]),
                  std::move(call));
}

void LoadGenerator::retryOnNextNode(std::size_t index, std::size_t node, int attempt)
{
    {
        const std::lock_guard lock(m_mutex);
        m_unavailableUntil[node % m_unavailableUntil.size()] = m_clock.now() + kNodeUnavailableTime;
    }
    if (attempt + 1 < static_cast<int>(m_spec.nodes.size())) {
        send(index, attempt + 1);
        return;
    }
    LoadOutcome outcome;
    outcome.result = LoadResult::Refused;
    outcome.reason = "connect_failed";
    outcome.execution = "not_run";
    recordOutcome(index, outcome);
}

void LoadGenerator::recordOutcome(std::size_t index, LoadOutcome outcome)
{
    evaluateTargets(index, outcome);
    const std::lock_guard lock(m_mutex);
    m_outcomes[index] = std::move(outcome);
    ++m_endedCount;
    m_changed.notify_all();
}

void LoadGenerator::evaluateTargets(std::size_t index, LoadOutcome &outcome) const
{
    const auto &loadClass = m_spec.classes[m_plan[index].loadClass];
    if (outcome.result != LoadResult::Answered)
        return;
    if (!loadClass.application() && !loadClass.streamed) {
        const auto tokens = static_cast<Duration::rep>(outcome.tokens);
        outcome.inTime =
                outcome.totalTime <= loadClass.firstTokenTarget + loadClass.tokenTarget * tokens;
        return;
    }
    const auto gaps = static_cast<Duration::rep>(outcome.tokens) - 1;
    const bool tokensInTime = gaps <= 0 || outcome.totalTime - outcome.timeToFirstToken <=
                                                   loadClass.tokenTarget * gaps;
    outcome.inTime = outcome.timeToFirstToken <= loadClass.firstTokenTarget && tokensInTime;
}

void LoadGenerator::setNodeReady(std::size_t node, bool ready)
{
    const std::lock_guard lock(m_mutex);
    m_nodeReady.at(node) = ready;
}

} // namespace hawthornslip
