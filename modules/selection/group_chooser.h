#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "modules/admission/scheduler_events.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/**
 * Chooses the failure domain that a request is sent to: the node's own one, unless the wait that
 * its group's owner last reported exceeds the wait in another domain plus a penalty for the
 * distance.
 */
class GroupChooser
{
public:
    explicit GroupChooser(FailureDomain ownDomain);

    /** Records the waits that the owner of @p group reported with an answer. */
    void observe(const GroupId &group, const GroupLoadInfo &load, TimePoint now);

    /**
     * @param groups groups that can serve the request, one per failure domain.
     * @param tried failure domains that refused the request.
     * @return the group with the shortest expected wait, or nothing when all were tried.
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
