#include "core/logger.h"
#include "servers/gateway/exchange.h"
#include "servers/gateway/gateway.h"

namespace hawthornslip {

namespace {

/** @return the ids of the prompt segments that other requests may share, separated by commas. */
std::string sharedSegmentIds(const RequestMeta &meta)
{
    std::string ids;
    for (std::size_t i = 0; i + 1 < meta.prompt.size(); ++i)
        ids += (i == 0 ? "" : ",") + meta.prompt[i].id;
    return ids;
}

} // namespace

void Exchange::logQuarantined(const QuarantineHold &hold) const
{
    if (!m_gateway.mayLogRequest(LogLevel::Warning))
        return;
    logEvent(LogLevel::Warning, "prompt_refused",
             {{"request", m_meta.requestId},
              {"segments", hexList(hold.verdict.segments)},
              {"crashes", hold.verdict.crashes},
              {"remaining_ms", toMillis(hold.remaining)}});
}

void Exchange::logLostAttempt(const UpstreamEnd &end) const
{
    if (!m_gateway.mayLogRequest(LogLevel::Warning))
        return;
    logEvent(LogLevel::Warning, "attempt_lost",
             {{"request", m_meta.requestId},
              {"attempt", m_attemptNumber},
              {"upstream", m_placement.upstream.id.value},
              {"cause", end.message},
              {"connected", end.result != UpstreamResult::ConnectFailed},
              {"head", m_relay.attemptStatus()},
              {"output", m_relay.hasFirstOutput()},
              {"resumed", m_relay.lastEventId().has_value()},
              {"copy_from", m_placement.kvSourceAddress},
              {"after_ms", toMillis(m_gateway.parts().loop.now() - m_sentAt)},
              {"prompt_segments", sharedSegmentIds(m_meta)}});
}

void Exchange::logDone(LogLevel level, int status, Reason reason, TimePoint now) const
{
    const auto age = m_gateway.state().config().age(now);
    const auto millisSinceArrival = [this](TimePoint at) {
        return at == TimePoint{} ? -1 : toMillis(at - m_arrivedAt);
    };
    logEvent(level, "request_done",
             {{"request", m_meta.requestId},
              {"route", m_route == nullptr ? "none" : std::string_view(m_route->name)},
              {"service", m_service == nullptr ? "" : m_service->name},
              {"workspace", m_workspace == nullptr ? "" : m_workspace->name},
              {"status", status},
              {"reason", nameOf(reason)},
              {"execution", nameOf(m_executionTracker.execution())},
              {"attempts", m_attemptNumber},
              {"upstream", m_placement.upstream.id.value},
              {"upstream_state", nameOf(kAttemptStateNames, m_executionTracker.current())},
              {"sent_ms", millisSinceArrival(m_sentAt)},
              {"first_ms", millisSinceArrival(m_relay.stats().firstOutputAt)},
              {"total_ms", toMillis(now - m_arrivedAt)},
              {"events", m_relay.stats().events},
              {"longest_pause_ms", toMillis(m_relay.stats().longestPause)},
              {"wait_estimate_ms", toMillis(m_placement.wait)},
              {"outside_range", m_placement.isOutsidePartition},
              {"home_rank", m_placement.preferenceRank},
              {"full_part", m_placement.fullFraction},
              {"copy_from", m_placement.kvSourceAddress},
              {"prompt_tokens", m_meta.promptTokens},
              {"config_version", m_table ? m_table->config().version : 0},
              {"config_age_ms", age ? toMillis(*age) : -1}});
}

} // namespace hawthornslip
