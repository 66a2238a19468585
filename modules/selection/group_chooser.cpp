#include "modules/selection/group_chooser.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

// Another domain adds network latency to each message and lacks part of the cached prompts; for a
// smaller difference of waits a request stays in its own domain.
constexpr Duration kRemoteDomainPenalty = milliseconds(50);
// A wait reported this long ago counts for half. At twice that age it counts for nothing, so that
// the domain is tried again.
constexpr Duration kHalfAge = milliseconds(1500);

} // namespace

GroupChooser::GroupChooser(FailureDomain ownDomain)
    : m_ownDomain(std::move(ownDomain))
{}

void GroupChooser::observe(const GroupId &group, const GroupLoadInfo &load, TimePoint now)
{
    m_observed[group] = {load, now};
}

Duration GroupChooser::expectedWait(const GroupId &group, int tier, TimePoint now) const
{
    const auto it = m_observed.find(group);
    if (it == m_observed.end())
        return Duration(0);
    const double age = toSeconds(now - it->second.observedAt) / toSeconds(2 * kHalfAge);
    const auto wait = it->second.load.waits[static_cast<std::size_t>(tier)];
    const double kept = std::clamp(1 - age, 0.0, 1.0);
    return Duration(static_cast<std::int64_t>(static_cast<double>(wait.count()) * kept));
}

std::optional<GroupId> GroupChooser::choose(int tier, const std::vector<GroupId> &groups,
                                            const std::vector<FailureDomain> &tried,
                                            TimePoint now) const
{
    std::optional<GroupId> best;
    Duration leastWait = Duration::max();
    for (const auto &it : groups) {
        if (std::find(tried.begin(), tried.end(), it.domain) != tried.end())
            continue;
        const auto wait = expectedWait(it, tier, now) +
                          (it.domain == m_ownDomain ? Duration(0) : kRemoteDomainPenalty);
        if (wait < leastWait) {
            leastWait = wait;
            best = it;
        }
    }
    return best;
}

} // namespace hawthornslip
