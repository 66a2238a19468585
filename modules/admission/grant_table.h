#pragma once

#include "modules/admission/attempt_key_hash.h"
#include "modules/admission/scheduler_events.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace hawthornslip {

/** A slot in use. */
struct GrantRecord
{
    GrantId id;
    AttemptKey key;
    NodeId node;
    std::size_t upstream = 0;
    UpstreamId upstreamId;
    WorkspaceId workspace;
    double weight = 1;
    /** Null for a reported grant whose profile is not known; such a stream is never preempted. */
    std::shared_ptr<const Profile> profile;
    int tier = kTierCount - 1;
    TimePoint since{};
    std::uint32_t promptTokens = 0;
    /** Tokens that the caller had before this attempt. */
    std::uint32_t tokensDone = 0;
    double cost = 0;
    /** Progress of this attempt. */
    std::uint32_t tokens = 0;
    TimePoint progressAt{};
    bool sawFirstToken = false;
    bool sawTokenTime = false;
    /** Granted to keep a tier from starving, so that it is not preempted again at once. */
    bool preemptionExempt = false;
    bool preempting = false;
    TimePoint preemptSentAt{};
};

/** The slots in use of one group, found by grant, by attempt and by node. */
class GrantTable
{
public:
    /** @param prefix starts each new grant id. */
    explicit GrantTable(std::string prefix);

    /** Adds @p record under a new id. @return the stored record. */
    GrantRecord &add(GrantRecord record);

    /** Adds a grant that another owner or this one gave earlier, under its own id. */
    GrantRecord &restore(GrantRecord record);

    /** @return the record of @p id, or nullptr. */
    GrantRecord *find(const GrantId &id);

    /** @return the grant of the attempt @p key, or nullptr. */
    GrantRecord *findAttempt(const AttemptKey &key);

    /** Removes the grant and returns its record, which must exist. */
    GrantRecord take(const GrantId &id);

    /** Remembers that @p id was given back, so that a late report does not restore it. */
    void markReleased(const GrantId &id, TimePoint now);
    /** @return true when @p id was given back lately. */
    bool wasReleased(const GrantId &id) const { return m_released.count(id) > 0; }
    /** Forgets what was given back long ago. */
    void expire(TimePoint now);

    /** @return the grants that @p node holds. */
    std::vector<GrantId> heldBy(const NodeId &node) const;

    /** @return the grants that are older than any answer of their profile may take. */
    std::vector<GrantId> overdue(TimePoint now) const;

    /** @return the stream of @p tier that loses least work when it is preempted, or nullptr. */
    GrantRecord *cheapestVictim(int tier);

    /** Marks @p record as told to stop. */
    void startPreempting(GrantRecord &record, TimePoint now);

    /** @return the grants that were told to stop and still run. */
    const std::unordered_set<GrantId> &preempting() const { return m_preempting; }

    /** @return the slots in use by @p tier. */
    std::size_t inFlight(int tier) const { return m_inFlight[static_cast<std::size_t>(tier)]; }
    /** @return the streams of @p tier told to stop that still run. */
    std::size_t preemptingCount(int tier) const
    {
        return m_preemptingCounts[static_cast<std::size_t>(tier)];
    }
    /** @return all slots in use. */
    std::size_t size() const { return m_grants.size(); }

private:
    using VictimKey = std::pair<double, GrantId>;

    static VictimKey victimKey(const GrantRecord &record);
    static bool mayPreempt(const GrantRecord &record);
    GrantRecord &insert(GrantRecord record);

    std::string m_prefix;
    std::uint64_t m_counter = 0;
    std::unordered_map<GrantId, GrantRecord> m_grants;
    std::unordered_map<AttemptKey, GrantId, AttemptKeyHash> m_byAttempt;
    std::unordered_map<NodeId, std::unordered_set<GrantId>> m_byNode;
    std::array<std::set<VictimKey>, kTierCount> m_victims;
    std::unordered_set<GrantId> m_preempting;
    std::array<std::size_t, kTierCount> m_inFlight{};
    std::array<std::size_t, kTierCount> m_preemptingCounts{};
    std::unordered_set<GrantId> m_released;
    std::deque<std::pair<TimePoint, GrantId>> m_releasedOrder;
};

} // namespace hawthornslip
