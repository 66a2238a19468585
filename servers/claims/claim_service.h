#pragma once

#include "core/interfaces/clock.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/object_store.h"
#include "modules/claims/claim_holder.h"
#include "modules/claims/claim_shard.h"
#include "servers/claims/claim_gateway.h"
#include "servers/membership/membership_source.h"
#include "servers/peer/control_loop.h"
#include "servers/peer/peer_bus.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace hawthornslip {

/** Timeouts and limits of the claim service. */
struct ClaimServiceOptions
{
    ClaimShardOptions shard;
    ClaimHolderOptions holder;
    /** How often timeouts and retransmissions are checked. */
    Duration tickInterval = milliseconds(25);
    /** Time limit for the answer to a lookup. */
    Duration lookUpTimeout = seconds(2);
    Duration lookUpRetransmitInterval = milliseconds(400);
    /** An idle shard is dropped from memory after this time. */
    Duration shardIdleTimeout = seconds(600);
};

/**
 * Claims of non-idempotent requests with an idempotency key, using the shards of modules/claims.
 * Each node sends claims to the owner of the key's shard. A node serves such a message whether or
 * not it is the owner in its own view, because the version check of the shard's object in the store
 * decides which write succeeds.
 */
class ClaimService : public ClaimGateway
{
public:
    /**
     * Registers with @p bus and @p membership. All references must outlive this object, and @p loop
     * must be stopped before it is destroyed.
     *
     * @param seed seed of the random number generator for claim ids; must differ between starts of
     *        the process.
     */
    ClaimService(ControlLoop &loop, PeerBus &bus, MembershipSource &membership, ObjectStore &store,
                 Metrics &metrics, const Clock &clock, std::uint64_t seed,
                 ClaimServiceOptions options = {});

    void claim(ClaimParams params, std::function<void(const ClaimAnswer &)> done) override;
    void record(const ClaimTicket &ticket, Execution execution, int httpStatus) override;
    void lookUp(const WorkspaceId &workspace, const std::string &key,
                std::function<void(const OutcomeAnswer &)> done) override;

    /** @return the hash under which a key is stored. */
    static std::string keyHash(const WorkspaceId &workspace, const std::string &key);

    /** @return the shard of a key hash. */
    static std::uint32_t shardOf(const std::string &keyHash);

    /** @return the owner of @p shard by rendezvous hashing; this node without candidates. */
    NodeId ownerOf(std::uint32_t shard) const;

    /** @return the number of this node's claims without stored outcome; control thread only. */
    std::size_t heldCount() const { return m_holder.heldCount(); }

private:
    struct UnansweredClaim
    {
        ClaimTicket ticket;
        std::function<void(const ClaimAnswer &)> done;
    };

    struct LookUp
    {
        std::uint32_t shard = 0;
        std::string keyHash;
        TimePoint deadline;
        TimePoint retransmitAt;
        std::function<void(const OutcomeAnswer &)> done;
    };

    struct ShardEntry
    {
        std::unique_ptr<ClaimShard> shard;
        TimePoint wakeAt;
        TimePoint lastUsed;
    };

    // claim_service.cpp: the requesting node's side.
    void startClaim(ClaimParams params, std::function<void(const ClaimAnswer &)> done);
    void startLookUp(LookUp lookUp);
    void sendQuery(std::uint64_t queryId, LookUp &lookUp);
    void run(const ClaimHolderActions &actions);
    void perform(const SendClaim &action);
    void perform(const SendOutcome &action);
    void perform(const AnswerClaim &action);
    void onReply(const peer::ClaimReply &reply);
    void onHolderQuery(const NodeId &sender, const peer::OutcomeQuery &query);
    void onLookUpReply(const peer::OutcomeReply &reply);
    void onTick();
    void checkLookUps();

    // claim_owner.cpp: the owner's side.
    void registerOwnerHandlers();
    void onRequest(const NodeId &sender, const peer::ClaimRequest &request);
    void onOutcome(const NodeId &sender, const peer::ClaimOutcome &outcome);
    void onQuery(const NodeId &sender, const peer::OutcomeQuery &query);
    void onHolderReply(const peer::OutcomeReply &reply);
    ShardEntry &shardEntryOf(std::uint32_t shard);
    void run(std::uint32_t shard, ClaimActions actions);
    void perform(std::uint32_t shard, const ReadClaimShard &action);
    void perform(std::uint32_t shard, const ReadClaimSegment &action);
    void perform(std::uint32_t shard, const WriteClaimShard &action);
    void perform(std::uint32_t shard, const WriteClaimSegment &action);
    void perform(std::uint32_t shard, const ClearClaimSegment &action);
    void perform(std::uint32_t shard, const SendClaimReply &action);
    void perform(std::uint32_t shard, const SendOutcomeAck &action);
    void perform(std::uint32_t shard, const SendLookupReply &action);
    void perform(std::uint32_t shard, const QueryClaimHolder &action);
    void perform(std::uint32_t shard, const WakeClaimShard &action);
    void perform(std::uint32_t shard, const ClaimViolation &action);
    void dropIdleShards();
    ClaimTime time() const;

    ControlLoop &m_loop;
    PeerBus &m_bus;
    MembershipSource &m_membership;
    ObjectStore &m_store;
    Metrics &m_metrics;
    const Clock &m_clock;
    ClaimServiceOptions m_options;
    std::mt19937_64 m_random;
    ClaimHolder m_holder;
    std::map<std::uint64_t, UnansweredClaim> m_unansweredClaims;
    std::map<std::uint64_t, LookUp> m_lookUps;
    std::map<std::uint32_t, ShardEntry> m_shards;
    std::vector<NodeId> m_candidates;
};

} // namespace hawthornslip
