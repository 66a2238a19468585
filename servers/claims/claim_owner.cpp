#include "core/logger.h"
#include "core/metric_names.h"
#include "servers/claims/claim_codec.h"
#include "servers/claims/claim_service.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

std::string objectKey(std::uint32_t shard)
{
    return "claims/" + std::to_string(shard);
}

// Checks the shard number and key hash of a message, which may come from a node of any version.
bool isValidKey(std::uint32_t shard, const std::string &keyHash)
{
    return shard < kClaimShardCount && !keyHash.empty() && ClaimService::shardOf(keyHash) == shard;
}

} // namespace

void ClaimService::registerOwnerHandlers()
{
    using Body = peer::Envelope::BodyCase;
    m_bus.handle(Body::kClaimRequest, [this](const NodeId &sender, const auto &it) {
        onRequest(sender, it.claim_request());
    });
    m_bus.handle(Body::kClaimOutcome, [this](const NodeId &sender, const auto &it) {
        onOutcome(sender, it.claim_outcome());
    });
    m_bus.handle(Body::kOutcomeQuery, [this](const NodeId &sender, const auto &it) {
        if (it.outcome_query().claim_id() != 0)
            onHolderQuery(sender, it.outcome_query());
        else
            onQuery(sender, it.outcome_query());
    });
    m_bus.handle(Body::kOutcomeReply, [this](const NodeId &, const auto &it) {
        if (it.outcome_reply().claim_id() != 0)
            onHolderReply(it.outcome_reply());
        else
            onLookUpReply(it.outcome_reply());
    });
}

void ClaimService::onRequest(const NodeId &sender, const peer::ClaimRequest &request)
{
    if (!isValidKey(request.shard(), request.key_hash()) || request.claim_id() == 0)
        return;
    auto &entry = shardEntryOf(request.shard());
    run(request.shard(),
        entry.shard->claim({sender, request.claim_id(), request.key_hash(), request.body_hash()},
                           time()));
}

void ClaimService::onOutcome(const NodeId &sender, const peer::ClaimOutcome &outcome)
{
    const auto state = ClaimCodec::fromWire(outcome.state());
    if (!isValidKey(outcome.shard(), outcome.key_hash()) || !state || *state == ClaimState::Claimed)
        return;
    auto &entry = shardEntryOf(outcome.shard());
    run(outcome.shard(), entry.shard->outcome({sender, outcome.claim_id(), outcome.key_hash(),
                                               *state, static_cast<int>(outcome.http_status())},
                                              time()));
}

void ClaimService::onQuery(const NodeId &sender, const peer::OutcomeQuery &query)
{
    if (!isValidKey(query.shard(), query.key_hash()))
        return;
    auto &entry = shardEntryOf(query.shard());
    run(query.shard(), entry.shard->lookUp({sender, query.query_id(), query.key_hash()}, time()));
}

void ClaimService::onHolderReply(const peer::OutcomeReply &reply)
{
    const auto it = m_shards.find(reply.shard());
    if (it == m_shards.end())
        return;
    const auto state = ClaimCodec::fromWire(reply.state());
    const HolderView view{reply.found() && state.has_value(), state.value_or(ClaimState::Claimed),
                          static_cast<int>(reply.http_status())};
    run(reply.shard(), it->second.shard->holderAnswered(reply.claim_id(), view, time()));
}

ClaimService::ShardEntry &ClaimService::shardEntryOf(std::uint32_t shard)
{
    auto &entry = m_shards[shard];
    if (!entry.shard)
        entry.shard = std::make_unique<ClaimShard>(shard, m_options.shard, m_random());
    entry.lastUsed = m_loop.now();
    return entry;
}

void ClaimService::run(std::uint32_t shard, ClaimActions actions)
{
    for (const auto &it : actions)
        std::visit([&](const auto &action) { perform(shard, action); }, it);
}

void ClaimService::perform(std::uint32_t shard, const ReadClaimShard &action)
{
    m_store.get(objectKey(shard), [this, &loop = m_loop, shard,
                                   operation = action.operation](const StoreResult &result) {
        loop.post([this, shard, operation, result] {
            auto data = result.ok() ? ClaimCodec::decodeShard(result.object.value) : std::nullopt;
            if (result.ok() && !data)
                logEvent(LogLevel::Error, "claim_shard_undecodable", {{"shard", shard}});
            run(shard, shardEntryOf(shard).shard->shardRead(operation, result.error, data,
                                                            result.object.version, time()));
        });
    });
}

void ClaimService::perform(std::uint32_t shard, const ReadClaimSegment &action)
{
    m_store.get(action.name, [this, &loop = m_loop, shard, action](const StoreResult &result) {
        loop.post([this, shard, action, result] {
            const auto records =
                    result.ok() ? ClaimCodec::decodeSegment(result.object.value) : std::nullopt;
            run(shard, shardEntryOf(shard).shard->segmentRead(action.operation, action.name,
                                                              result.error, records, time()));
        });
    });
}

void ClaimService::perform(std::uint32_t shard, const WriteClaimShard &action)
{
    m_store.put(
            objectKey(shard), ClaimCodec::encodeShard(action.data), action.expectedVersion,
            [this, &loop = m_loop, shard, operation = action.operation](const StoreResult &result) {
                loop.post([this, shard, operation, result] {
                    run(shard, shardEntryOf(shard).shard->shardWritten(
                                       operation, result.error, result.object.version, time()));
                });
            });
}

void ClaimService::perform(std::uint32_t shard, const WriteClaimSegment &action)
{
    m_store.put(
            action.name, ClaimCodec::encodeSegment(action.records), 0,
            [this, &loop = m_loop, shard, operation = action.operation](const StoreResult &result) {
                loop.post([this, shard, operation, result] {
                    run(shard,
                        shardEntryOf(shard).shard->segmentWritten(operation, result.error, time()));
                });
            });
}

void ClaimService::perform(std::uint32_t /*shard*/, const ClearClaimSegment &action)
{
    // The store has no delete operation, so the segment is overwritten with an empty value. If that
    // fails, it only takes up space.
    m_store.get(action.name,
                [&store = m_store, &loop = m_loop, name = action.name](const StoreResult &result) {
                    if (!result.ok() || result.object.value.empty())
                        return;
                    loop.post([&store, name, version = result.object.version] {
                        store.put(name, "", version, [](const StoreResult &) {});
                    });
                });
}

void ClaimService::perform(std::uint32_t /*shard*/, const SendClaimReply &action)
{
    peer::Envelope message;
    auto &reply = *message.mutable_claim_reply();
    reply.set_claim_id(action.claimId);
    reply.set_verdict(ClaimCodec::toWire(action.verdict));
    reply.set_holder(action.holder.value);
    reply.set_http_status(static_cast<std::uint32_t>(action.httpStatus));
    reply.set_attempt(action.attempt);
    reply.set_may_be_stored(action.mayBeStored);
    m_bus.send(action.to, std::move(message));
}

void ClaimService::perform(std::uint32_t /*shard*/, const SendOutcomeAck &action)
{
    peer::Envelope message;
    message.mutable_claim_outcome_ack()->set_claim_id(action.claimId);
    m_bus.send(action.to, std::move(message));
}

void ClaimService::perform(std::uint32_t /*shard*/, const SendLookupReply &action)
{
    peer::Envelope message;
    auto &reply = *message.mutable_outcome_reply();
    reply.set_query_id(action.queryId);
    reply.set_store_unavailable(action.storeUnavailable);
    reply.set_found(action.record.has_value());
    if (action.record) {
        reply.set_state(ClaimCodec::toWire(action.record->state));
        reply.set_holder(action.record->holder.value);
        reply.set_http_status(static_cast<std::uint32_t>(action.record->httpStatus));
    }
    m_bus.send(action.to, std::move(message));
}

void ClaimService::perform(std::uint32_t shard, const QueryClaimHolder &action)
{
    const auto &live = m_membership.liveNodes();
    const bool isLive = std::any_of(live.begin(), live.end(),
                                    [&](const auto &it) { return it.node == action.holder; });
    if (!isLive) {
        m_loop.post([this, shard, id = action.claimId] {
            run(shard, shardEntryOf(shard).shard->holderAnswered(id, {}, time()));
        });
        return;
    }
    peer::Envelope message;
    auto &query = *message.mutable_outcome_query();
    query.set_claim_id(action.claimId);
    query.set_shard(shard);
    m_bus.send(action.holder, std::move(message));
}

void ClaimService::perform(std::uint32_t shard, const WakeClaimShard &action)
{
    auto &entry = shardEntryOf(shard);
    const auto now = m_loop.now();
    // A wake that is already scheduled and not later schedules this one again if needed.
    if (entry.wakeAt > now && entry.wakeAt <= action.at)
        return;
    entry.wakeAt = action.at;
    m_loop.after(action.at - now, [this, shard] {
        const auto it = m_shards.find(shard);
        if (it != m_shards.end())
            run(shard, it->second.shard->wake(time()));
    });
}

void ClaimService::perform(std::uint32_t /*shard*/, const ClaimViolation &action)
{
    logEvent(LogLevel::Error, "claim_violation",
             {{"claim", action.claimId}, {"reported", nameOf(kClaimStateNames, action.reported)}});
    m_metrics.count(metric::kInvariantViolations, {{"invariant", "I5"}});
}

void ClaimService::dropIdleShards()
{
    const auto now = m_loop.now();
    std::erase_if(m_shards, [&](const auto &it) {
        return it.second.shard->idle() && now - it.second.lastUsed > m_options.shardIdleTimeout;
    });
}

ClaimTime ClaimService::time() const
{
    return {m_clock.now(), m_clock.wallNow()};
}

} // namespace hawthornslip
