#include "servers/request_path/account_filter.h"

#include "core/logger.h"
#include "core/metric_names.h"
#include "servers/request_path/request_context.h"

#include <array>
#include <string>

namespace hawthornslip {

namespace {

std::string_view tierName(const Profile *profile)
{
    constexpr std::array<std::string_view, kTierCount> kNames = {"0", "1", "2"};
    if (profile == nullptr || profile->tier < 0 || profile->tier >= kTierCount)
        return "none";
    return kNames[static_cast<std::size_t>(profile->tier)];
}

std::string_view resultName(const RequestContext &context)
{
    if (context.reason == Reason::None)
        return context.replayed ? "replayed" : "answered";
    if (context.reason == Reason::CallerGone)
        return "caller_gone";
    return context.execution == Execution::NotRun ? "refused" : "failed";
}

} // namespace

boost::leaf::result<void> AccountFilter::process(RequestContext & /*context*/)
{
    return {};
}

void AccountFilter::finish(RequestContext &context)
{
    auto &metrics = m_services.metrics;
    const auto &stats = context.stats;
    const auto total = m_services.clock.now() - context.acceptedAt;
    const std::string_view profile =
            context.profile == nullptr ? "none" : std::string_view(context.profile->name.value);
    metrics.count(metric::kRequests, {{"profile", profile},
                                      {"tier", tierName(context.profile)},
                                      {"result", resultName(context)}});
    if (context.reason != Reason::None)
        metrics.count(metric::kRefusals, {{"reason", nameOf(context.reason)},
                                          {"execution", nameOf(context.execution)}});
    const auto relayed = stats.tokens - stats.wastedTokens;
    if (relayed > 0)
        metrics.count(metric::kTokens, {{"profile", profile}, {"use", "relayed"}}, relayed);
    if (stats.wastedTokens > 0)
        metrics.count(metric::kTokens, {{"profile", profile}, {"use", "wasted"}},
                      stats.wastedTokens);
    if (stats.timeToFirstToken.count() > 0)
        metrics.observe(metric::kTimeToFirstToken, {{"profile", profile}},
                        toSeconds(stats.timeToFirstToken));
    if (stats.attempts > 0)
        metrics.observe(metric::kQueueWait, {{"profile", profile}}, toSeconds(stats.queueWait));
    metrics.observe(metric::kRequestDuration, {{"profile", profile}}, toSeconds(total));
    logEvent(LogLevel::Info, "request",
             {{"request_id", context.id.value},
              {"workspace", context.workspace == nullptr ? std::string_view("none")
                                                         : context.workspace->id.value},
              {"profile", profile},
              {"model", context.model.value},
              {"status", context.answer.status},
              {"reason", nameOf(context.reason)},
              {"execution", nameOf(context.execution)},
              {"attempts", stats.attempts},
              {"tokens", stats.tokens},
              {"first_token_ms", toMillis(stats.timeToFirstToken)},
              {"queue_ms", toMillis(stats.queueWait)},
              {"total_ms", toMillis(total)},
              {"client", context.http.clientAddress}});
}

} // namespace hawthornslip
