#pragma once

#include "modules/admission/group_scheduler.h"

#include <memory>
#include <string>
#include <vector>

/** Builders of scheduler events for tests. */
namespace hawthornslip::test {

inline constexpr TimePoint kSchedulerStart{seconds(1000)};

/** @return a profile of @p tier with a first-token target of one second. */
inline std::shared_ptr<const Profile> makeProfile(int tier)
{
    auto profile = std::make_shared<Profile>();
    profile->name = ProfileName("tier" + std::to_string(tier));
    profile->tier = tier;
    return profile;
}

/** @return an ask of request @p id with the profile of @p tier. */
inline AdmissionRequestEvent makeAsk(const std::string &id, int tier,
                                     const std::string &workspace = "w",
                                     const std::string &node = "n1")
{
    AdmissionRequestEvent ask;
    ask.key.request = RequestId(id);
    ask.node = NodeId(node);
    ask.workspace = WorkspaceId(workspace);
    ask.profile = makeProfile(tier);
    ask.promptTokens = 100;
    return ask;
}

/** @return @p n upstreams with @p slots slots each. */
inline std::vector<UpstreamInfo> makeUpstreams(int n, std::uint32_t slots)
{
    std::vector<UpstreamInfo> upstreams;
    for (int i = 0; i < n; ++i)
        upstreams.push_back({UpstreamId("u" + std::to_string(i)), true, slots});
    return upstreams;
}

/** @return the actions of type @p Action. */
template <typename Action>
std::vector<Action> only(const SchedulerActions &actions)
{
    std::vector<Action> found;
    for (const auto &it : actions) {
        if (const auto *action = std::get_if<Action>(&it))
            found.push_back(*action);
    }
    return found;
}

/** @return the release of a whole answer of @p tokens tokens after @p duration. */
inline ReleaseEvent makeRelease(const GrantId &grant, std::uint32_t tokens = 200,
                                Duration duration = seconds(5))
{
    return {grant, ReleaseResult::Complete, tokens, milliseconds(100), duration};
}

} // namespace hawthornslip::test
