#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "modules/admission/scheduler_events.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/**
 * Chooses the failure domain that a request goes to: the own one unless its owner's last answer
 * tells of a longer wait than that of another domain with the cost of the distance.
 */
class GroupChooser
{
public:
    explicit GroupChooser(FailureDomain ownDomain);

    /** Takes the waits that the owner of @p group sent with an answer. */
    void observe(const GroupId &group, const GroupLoadInfo &load, TimePoint now);

    /**
     * @param groups those that serve the request, one of each failure domain.
     * @param tried the domains that refused it.
     * @return the group with the least expected wait, or nothing when all were tried.
     */
    std::optional<GroupId> choose(int tier, const std::vector<GroupId> &groups,
                                  const std::vector<FailureDomain> &tried, TimePoint now) const;

private:
    struct ObservedLoad
    {
        GroupLoadInfo load;
        TimePoint observedAt;
    };

    Duration expectedWait(const GroupId &group, int tier, TimePoint now) const;

    FailureDomain m_ownDomain;
    std::unordered_map<GroupId, ObservedLoad> m_observed;
};

} // namespace hawthornslip
