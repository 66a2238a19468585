#include "servers/claims/claim_service.h"

#include "core/metric_names.h"
#include "modules/ownership/rendezvous_hash.h"
#include "servers/claims/claim_codec.h"

#include <sodium.h>

#include <utility>

namespace hawthornslip {

namespace {

constexpr std::size_t kKeyHashBytes = 16;
constexpr Duration kInProgressRetryAfter = seconds(1);
constexpr Duration kStoreRetryAfter = seconds(2);
constexpr Duration kClaimsFullRetryAfter = seconds(60);

RequestError errorOf(const AnswerClaim &answer)
{
    switch (answer.verdict) {
    case ClaimVerdict::InProgress:
        return {Reason::InProgress, Execution::MayHaveRun, "a request with this key is in progress",
                kInProgressRetryAfter};
    case ClaimVerdict::Ran:
        return {Reason::AlreadyRan, Execution::Ran, "the request of this key ran", {}};
    case ClaimVerdict::MayHaveRun:
        return {Reason::OutcomeUnknown,
                Execution::MayHaveRun,
                "the outcome of the request of this key is not known",
                {}};
    case ClaimVerdict::KeyReused:
        return {Reason::IdempotencyKeyReused,
                Execution::NotRun,
                "the key was used for another request",
                {}};
    case ClaimVerdict::Full:
        return {Reason::ClaimsFull, Execution::NotRun, "too many keys are kept",
                kClaimsFullRetryAfter};
    default:
        return {Reason::StoreUnavailable, Execution::NotRun, "the claim could not be stored",
                kStoreRetryAfter};
    }
}

ClaimState stateOf(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return ClaimState::NotRun;
    case Execution::Ran:
        return ClaimState::Ran;
    default:
        return ClaimState::MayHaveRun;
    }
}

std::optional<Outcome> outcomeOf(const peer::OutcomeReply &reply)
{
    if (!reply.found())
        return std::nullopt;
    Outcome outcome;
    outcome.httpStatus = static_cast<int>(reply.http_status());
    outcome.holder = NodeId(reply.holder());
    const auto state = ClaimCodec::fromWire(reply.state()).value_or(ClaimState::MayHaveRun);
    outcome.inProgress = state == ClaimState::Claimed;
    if (state == ClaimState::Ran)
        outcome.execution = Execution::Ran;
    else if (state == ClaimState::NotRun)
        outcome.execution = Execution::NotRun;
    return outcome;
}

} // namespace

ClaimService::ClaimService(ControlLoop &loop, PeerBus &bus, MembershipSource &membership,
                           ObjectStore &store, Metrics &metrics, const Clock &clock,
                           std::uint64_t seed, ClaimServiceOptions options)
    : m_loop(loop)
    , m_bus(bus)
    , m_membership(membership)
    , m_store(store)
    , m_metrics(metrics)
    , m_clock(clock)
    , m_options(options)
    , m_random(seed)
    , m_holder(options.holder)
{
    using Body = peer::Envelope::BodyCase;
    m_bus.handle(Body::kClaimReply,
                 [this](const NodeId &, const auto &it) { onReply(it.claim_reply()); });
    m_bus.handle(Body::kClaimOutcomeAck, [this](const NodeId &, const auto &it) {
        m_holder.outcomeStored(it.claim_outcome_ack().claim_id());
    });
    registerOwnerHandlers();
    m_membership.subscribe([this] {
        if (m_membership.ownerCandidates() == m_candidates)
            return;
        m_candidates = m_membership.ownerCandidates();
        run(m_holder.ownersChanged(m_loop.now()));
    });
    m_loop.every(m_options.tickInterval, [this] { onTick(); });
}

void ClaimService::claim(ClaimParams params, std::function<void(const ClaimAnswer &)> done)
{
    m_loop.post([this, params = std::move(params), done = std::move(done)]() mutable {
        startClaim(std::move(params), std::move(done));
    });
}

void ClaimService::record(const ClaimTicket &ticket, Execution execution, int httpStatus)
{
    m_loop.post([this, id = ticket.claimId, execution, httpStatus] {
        run(m_holder.record(id, stateOf(execution), httpStatus, m_loop.now()));
    });
}

void ClaimService::lookUp(const WorkspaceId &workspace, const std::string &key,
                          std::function<void(const OutcomeAnswer &)> done)
{
    LookUp lookUp;
    lookUp.keyHash = keyHash(workspace, key);
    lookUp.shard = shardOf(lookUp.keyHash);
    lookUp.done = std::move(done);
    m_loop.post([this, lookUp = std::move(lookUp)]() mutable { startLookUp(std::move(lookUp)); });
}

std::string ClaimService::keyHash(const WorkspaceId &workspace, const std::string &key)
{
    // The length prefix distinguishes "a" + "bc" from "ab" + "c". The hash is cryptographic because
    // callers choose the key.
    const std::string text = std::to_string(workspace.value.size()) + ':' + workspace.value + key;
    std::string hash(kKeyHashBytes, '\0');
    crypto_generichash(reinterpret_cast<unsigned char *>(hash.data()), hash.size(),
                       reinterpret_cast<const unsigned char *>(text.data()), text.size(), nullptr,
                       0);
    return hash;
}

std::uint32_t ClaimService::shardOf(const std::string &keyHash)
{
    return static_cast<unsigned char>(keyHash.front()) % kClaimShardCount;
}

NodeId ClaimService::ownerOf(std::uint32_t shard) const
{
    auto owner = rendezvousOwner("claims/" + std::to_string(shard), m_membership.ownerCandidates());
    return owner.empty() ? m_bus.self() : owner;
}

void ClaimService::startClaim(ClaimParams params, std::function<void(const ClaimAnswer &)> done)
{
    HeldClaim claim;
    claim.keyHash = keyHash(params.workspace, params.key);
    claim.shard = shardOf(claim.keyHash);
    claim.bodyHash = params.bodyHash;
    while (claim.claimId == 0 || m_unansweredClaims.contains(claim.claimId))
        claim.claimId = m_random();
    UnansweredClaim unanswered{{std::move(params.workspace), std::move(params.key), claim.claimId},
                               std::move(done)};
    m_unansweredClaims.emplace(claim.claimId, std::move(unanswered));
    const auto now = m_loop.now();
    run(m_holder.claim(claim, now + params.timeout, now));
}

void ClaimService::startLookUp(LookUp lookUp)
{
    const auto id = m_random();
    lookUp.deadline = m_loop.now() + m_options.lookUpTimeout;
    auto &added = m_lookUps[id] = std::move(lookUp);
    sendQuery(id, added);
}

void ClaimService::sendQuery(std::uint64_t queryId, LookUp &lookUp)
{
    lookUp.retransmitAt = m_loop.now() + m_options.lookUpRetransmitInterval;
    peer::Envelope message;
    auto &query = *message.mutable_outcome_query();
    query.set_query_id(queryId);
    query.set_shard(lookUp.shard);
    query.set_key_hash(lookUp.keyHash);
    m_bus.send(ownerOf(lookUp.shard), std::move(message));
}

void ClaimService::run(const ClaimHolderActions &actions)
{
    for (const auto &it : actions)
        std::visit([this](const auto &action) { perform(action); }, it);
}

void ClaimService::perform(const SendClaim &action)
{
    peer::Envelope message;
    auto &request = *message.mutable_claim_request();
    request.set_shard(action.claim.shard);
    request.set_claim_id(action.claim.claimId);
    request.set_key_hash(action.claim.keyHash);
    request.set_body_hash(action.claim.bodyHash);
    m_bus.send(ownerOf(action.claim.shard), std::move(message));
}

void ClaimService::perform(const SendOutcome &action)
{
    peer::Envelope message;
    auto &outcome = *message.mutable_claim_outcome();
    outcome.set_shard(action.claim.shard);
    outcome.set_claim_id(action.claim.claimId);
    outcome.set_key_hash(action.claim.keyHash);
    outcome.set_state(ClaimCodec::toWire(action.state));
    outcome.set_http_status(static_cast<std::uint32_t>(action.httpStatus));
    m_bus.send(ownerOf(action.claim.shard), std::move(message));
}

void ClaimService::perform(const AnswerClaim &action)
{
    const auto it = m_unansweredClaims.find(action.claimId);
    if (it == m_unansweredClaims.end())
        return;
    const auto unanswered = std::move(it->second);
    m_unansweredClaims.erase(it);
    m_metrics.count(metric::kClaims, {{"verdict", nameOf(kClaimVerdictNames, action.verdict)}});
    if (action.verdict == ClaimVerdict::Granted)
        unanswered.done(unanswered.ticket);
    else
        unanswered.done(errorOf(action));
}

void ClaimService::onReply(const peer::ClaimReply &reply)
{
    const auto verdict = ClaimCodec::fromWire(reply.verdict());
    if (!verdict)
        return;
    run(m_holder.replied({{},
                          reply.claim_id(),
                          *verdict,
                          NodeId(reply.holder()),
                          static_cast<int>(reply.http_status()),
                          reply.attempt(),
                          reply.may_be_stored()},
                         m_loop.now()));
}

void ClaimService::onHolderQuery(const NodeId &sender, const peer::OutcomeQuery &query)
{
    const auto view = m_holder.view(query.claim_id());
    peer::Envelope message;
    auto &reply = *message.mutable_outcome_reply();
    reply.set_claim_id(query.claim_id());
    reply.set_shard(query.shard());
    reply.set_found(view.known);
    reply.set_state(ClaimCodec::toWire(view.state));
    reply.set_http_status(static_cast<std::uint32_t>(view.httpStatus));
    m_bus.send(sender, std::move(message));
}

void ClaimService::onLookUpReply(const peer::OutcomeReply &reply)
{
    const auto it = m_lookUps.find(reply.query_id());
    // An unavailable store may recover before the deadline; the query is sent again until then.
    if (it == m_lookUps.end() || reply.store_unavailable())
        return;
    const auto lookUp = std::move(it->second);
    m_lookUps.erase(it);
    lookUp.done(outcomeOf(reply));
}

void ClaimService::onTick()
{
    run(m_holder.wake(m_loop.now()));
    checkLookUps();
    dropIdleShards();
}

void ClaimService::checkLookUps()
{
    const auto now = m_loop.now();
    std::vector<LookUp> expired;
    for (auto it = m_lookUps.begin(); it != m_lookUps.end();) {
        if (now >= it->second.deadline) {
            expired.push_back(std::move(it->second));
            it = m_lookUps.erase(it);
            continue;
        }
        if (now >= it->second.retransmitAt)
            sendQuery(it->first, it->second);
        ++it;
    }
    for (const auto &it : expired)
        it.done(RequestError{Reason::StoreUnavailable, Execution::MayHaveRun,
                             "the outcome could not be read", kStoreRetryAfter});
}

} // namespace hawthornslip
