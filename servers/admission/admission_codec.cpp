#include "servers/admission/admission_codec.h"

#include <algorithm>

namespace hawthornslip::admission {

namespace {

// Limits durations sent by a faulty peer; no duration in the system is longer than a day.
constexpr std::uint64_t kMaxDurationUs = 24ULL * 3600 * 1000 * 1000;

Duration fromUs(std::uint64_t us)
{
    return Duration(static_cast<std::int64_t>(std::min(us, kMaxDurationUs)));
}

std::uint64_t toUs(Duration span)
{
    return span.count() > 0 ? static_cast<std::uint64_t>(span.count()) : 0;
}

ReleaseResult fromMessage(peer::ReleaseResult result)
{
    switch (result) {
    case peer::RELEASE_RESULT_COMPLETE:
        return ReleaseResult::Complete;
    case peer::RELEASE_RESULT_CANCELLED:
        return ReleaseResult::Cancelled;
    case peer::RELEASE_RESULT_PREEMPTED:
        return ReleaseResult::Preempted;
    case peer::RELEASE_RESULT_CONNECT_FAILED:
        return ReleaseResult::ConnectFailed;
    case peer::RELEASE_RESULT_FAILED:
        return ReleaseResult::Failed;
    case peer::RELEASE_RESULT_TIMED_OUT:
        return ReleaseResult::TimedOut;
    default:
        return ReleaseResult::Unused;
    }
}

ReleaseResult toReleaseResult(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Complete:
        return ReleaseResult::Complete;
    case AttemptResult::Cancelled:
        return ReleaseResult::Cancelled;
    case AttemptResult::Preempted:
        return ReleaseResult::Preempted;
    case AttemptResult::ConnectFailed:
        return ReleaseResult::ConnectFailed;
    case AttemptResult::Failed:
        return ReleaseResult::Failed;
    case AttemptResult::TimedOut:
        return ReleaseResult::TimedOut;
    case AttemptResult::Unused:
        break;
    }
    return ReleaseResult::Unused;
}

peer::ReleaseResult toMessage(ReleaseResult result)
{
    switch (result) {
    case ReleaseResult::Complete:
        return peer::RELEASE_RESULT_COMPLETE;
    case ReleaseResult::Cancelled:
        return peer::RELEASE_RESULT_CANCELLED;
    case ReleaseResult::Preempted:
        return peer::RELEASE_RESULT_PREEMPTED;
    case ReleaseResult::ConnectFailed:
        return peer::RELEASE_RESULT_CONNECT_FAILED;
    case ReleaseResult::Failed:
        return peer::RELEASE_RESULT_FAILED;
    case ReleaseResult::TimedOut:
        return peer::RELEASE_RESULT_TIMED_OUT;
    case ReleaseResult::Unused:
        break;
    }
    return peer::RELEASE_RESULT_UNUSED;
}

} // namespace

GroupId fromMessage(const peer::Group &message)
{
    return {ModelName(message.model()), FailureDomain(message.domain())};
}

void toMessage(const GroupId &group, peer::Group &message)
{
    message.set_model(group.model.value);
    message.set_domain(group.domain.value);
}

std::shared_ptr<const Profile> sharedProfile(const std::shared_ptr<const SharedConfig> &config,
                                             const ProfileName &name)
{
    const Profile *profile = config->findProfile(name);
    return profile == nullptr ? nullptr : std::shared_ptr<const Profile>(config, profile);
}

double weightOf(const SharedConfig &config, const WorkspaceId &workspace)
{
    const Workspace *found = config.findWorkspace(workspace);
    return found == nullptr ? 1 : found->weight;
}

std::optional<AdmissionRequestEvent> fromMessage(const peer::AdmissionRequest &message,
                                                 const NodeId &node,
                                                 const std::shared_ptr<const SharedConfig> &config)
{
    AdmissionRequestEvent event;
    event.profile = sharedProfile(config, ProfileName(message.profile()));
    if (event.profile == nullptr)
        return std::nullopt;
    event.key = {RequestId(message.request_id()), message.attempt()};
    event.node = node;
    event.workspace = WorkspaceId(message.workspace());
    event.workspaceWeight = weightOf(*config, event.workspace);
    event.waited = fromUs(message.waited());
    event.remaining = fromUs(message.remaining_deadline());
    event.promptTokens = message.prompt_tokens();
    event.tokensDone = message.tokens_done();
    event.prefixHash = message.prefix_hash();
    for (const auto &it : message.excluded_upstreams())
        event.excluded.emplace_back(it);
    return event;
}

void toMessage(const AdmissionParams &params, const GroupId &group, Duration elapsed,
               peer::AdmissionRequest &message)
{
    message.set_request_id(params.request.value);
    toMessage(group, *message.mutable_group());
    message.set_workspace(params.workspace.value);
    message.set_profile(params.profile.name.value);
    message.set_attempt(params.attempt);
    message.set_waited(toUs(params.waited + elapsed));
    message.set_remaining_deadline(toUs(params.remaining - elapsed));
    message.set_prompt_tokens(params.promptTokens);
    message.set_tokens_done(params.tokensDone);
    message.set_prefix_hash(params.prefixHash);
    for (const auto &it : params.excluded)
        message.add_excluded_upstreams(it.value);
}

ReleaseEvent fromMessage(const peer::GrantRelease &message)
{
    ReleaseEvent event;
    event.grant = GrantId(message.grant_id());
    event.result = fromMessage(message.result());
    event.tokens = message.tokens();
    event.firstToken = fromUs(message.first_token());
    event.duration = fromUs(message.duration());
    return event;
}

void toMessage(const AttemptReport &report, peer::GrantRelease &message)
{
    message.set_grant_id(report.grant.grant.value);
    toMessage(report.grant.group, *message.mutable_group());
    message.set_upstream(report.grant.upstream.value);
    message.set_result(toMessage(toReleaseResult(report.result)));
    message.set_tokens(report.tokens);
    message.set_first_token(toUs(report.firstToken));
    message.set_duration(toUs(report.duration));
    message.set_profile(report.profile.value);
    message.set_workspace(report.workspace.value);
}

GrantReportEvent fromMessage(const peer::GrantReport &message, const NodeId &node,
                             const std::shared_ptr<const SharedConfig> &config)
{
    GrantReportEvent event;
    event.node = node;
    for (const auto &it : message.grants()) {
        HeldGrantInfo held;
        held.grant = GrantId(it.grant_id());
        held.request = RequestId(it.request_id());
        held.upstream = UpstreamId(it.upstream());
        held.workspace = WorkspaceId(it.workspace());
        held.profile = sharedProfile(config, ProfileName(it.profile()));
        held.age = fromUs(it.age());
        held.tokens = it.tokens();
        event.grants.push_back(std::move(held));
    }
    return event;
}

GroupLoadInfo fromMessage(const peer::GroupLoad &message)
{
    GroupLoadInfo load;
    load.inFlight = message.in_flight();
    load.limit = message.limit();
    const auto count = std::min<std::size_t>(
            load.waits.size(), static_cast<std::size_t>(message.wait_per_tier_size()));
    for (std::size_t i = 0; i < count; ++i)
        load.waits[i] = fromUs(message.wait_per_tier(static_cast<int>(i)));
    return load;
}

void toMessage(const GroupId &group, const GroupLoadInfo &load, peer::GroupLoad &message)
{
    toMessage(group, *message.mutable_group());
    message.set_in_flight(load.inFlight);
    message.set_limit(load.limit);
    for (const auto &it : load.waits)
        message.add_wait_per_tier(toUs(it));
}

ReleaseEvent toEvent(const AttemptReport &report)
{
    ReleaseEvent event;
    event.grant = report.grant.grant;
    event.result = toReleaseResult(report.result);
    event.tokens = report.tokens;
    event.firstToken = report.firstToken;
    event.duration = report.duration;
    return event;
}

AdmissionRequestEvent toEvent(const AdmissionParams &params, const NodeId &self, Duration elapsed,
                              double weight)
{
    AdmissionRequestEvent event;
    event.key = {params.request, params.attempt};
    event.node = self;
    event.workspace = params.workspace;
    event.workspaceWeight = weight;
    event.profile = std::make_shared<Profile>(params.profile);
    event.waited = params.waited + elapsed;
    event.remaining = std::max(Duration(0), params.remaining - elapsed);
    event.promptTokens = params.promptTokens;
    event.tokensDone = params.tokensDone;
    event.prefixHash = params.prefixHash;
    event.excluded = params.excluded;
    return event;
}

} // namespace hawthornslip::admission
