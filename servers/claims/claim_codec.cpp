#include "servers/claims/claim_codec.h"

#include <array>
#include <utility>

namespace hawthornslip {

namespace {

constexpr std::array<std::pair<ClaimState, peer::ClaimState>, 4> kStates = {{
        {ClaimState::Claimed, peer::CLAIM_STATE_CLAIMED},
        {ClaimState::Ran, peer::CLAIM_STATE_RAN},
        {ClaimState::NotRun, peer::CLAIM_STATE_NOT_RUN},
        {ClaimState::MayHaveRun, peer::CLAIM_STATE_MAY_HAVE_RUN},
}};

constexpr std::array<std::pair<ClaimVerdict, peer::ClaimVerdict>, 7> kVerdicts = {{
        {ClaimVerdict::Granted, peer::CLAIM_VERDICT_GRANTED},
        {ClaimVerdict::InProgress, peer::CLAIM_VERDICT_IN_PROGRESS},
        {ClaimVerdict::Ran, peer::CLAIM_VERDICT_RAN},
        {ClaimVerdict::MayHaveRun, peer::CLAIM_VERDICT_MAY_HAVE_RUN},
        {ClaimVerdict::KeyReused, peer::CLAIM_VERDICT_KEY_REUSED},
        {ClaimVerdict::StoreUnavailable, peer::CLAIM_VERDICT_STORE_UNAVAILABLE},
        {ClaimVerdict::Full, peer::CLAIM_VERDICT_FULL},
}};

template <typename Table, typename Wire>
auto findWire(const Table &table, Wire wire)
{
    using Plain = decltype(table.front().first);
    std::optional<std::remove_const_t<Plain>> found;
    for (const auto &it : table) {
        if (it.second == wire)
            found = it.first;
    }
    return found;
}

void encodeRecord(const ClaimRecord &record, peer::ClaimRecord &out)
{
    out.set_key_hash(record.keyHash);
    out.set_body_hash(record.bodyHash);
    out.set_claim_id(record.claimId);
    out.set_holder(record.holder.value);
    out.set_attempt(record.attempt);
    out.set_state(ClaimCodec::toWire(record.state));
    out.set_http_status(static_cast<std::uint32_t>(record.httpStatus));
    out.set_written_unix_ms(record.writtenAt);
}

// A record with an unknown state makes the whole object undecodable, so that no claim is granted
// based on it.
template <typename Records>
bool decodeRecords(const Records &in, std::vector<ClaimRecord> &out)
{
    out.reserve(static_cast<std::size_t>(in.size()));
    for (const auto &it : in) {
        const auto state = ClaimCodec::fromWire(it.state());
        if (!state || it.key_hash().empty())
            return false;
        out.push_back({it.key_hash(), it.body_hash(), it.claim_id(), NodeId(it.holder()),
                       it.attempt(), *state, static_cast<int>(it.http_status()),
                       it.written_unix_ms()});
    }
    return true;
}

} // namespace

std::string ClaimCodec::encodeShard(const ClaimShardData &data)
{
    peer::ClaimShardObject object;
    object.set_batch_id(data.batchId);
    object.set_next_segment(data.nextSegment);
    for (const auto &it : data.open)
        encodeRecord(it, *object.add_open());
    for (const auto &it : data.segments) {
        auto &ref = *object.add_segments();
        ref.set_name(it.name);
        ref.set_newest_unix_ms(it.newestWrittenAt);
        ref.set_records(it.records);
    }
    return object.SerializeAsString();
}

std::optional<ClaimShardData> ClaimCodec::decodeShard(const std::string &value)
{
    peer::ClaimShardObject object;
    ClaimShardData data;
    // Each write carries a batch id, so a value without one is not a shard.
    if (!object.ParseFromString(value) || object.batch_id() == 0 ||
        !decodeRecords(object.open(), data.open))
        return std::nullopt;
    data.batchId = object.batch_id();
    data.nextSegment = object.next_segment();
    for (const auto &it : object.segments())
        data.segments.push_back({it.name(), it.newest_unix_ms(), it.records()});
    return data;
}

std::string ClaimCodec::encodeSegment(const std::vector<ClaimRecord> &records)
{
    peer::ClaimSegment segment;
    for (const auto &it : records)
        encodeRecord(it, *segment.add_records());
    return segment.SerializeAsString();
}

std::optional<std::vector<ClaimRecord>> ClaimCodec::decodeSegment(const std::string &value)
{
    peer::ClaimSegment segment;
    std::vector<ClaimRecord> records;
    if (value.empty() || !segment.ParseFromString(value) ||
        !decodeRecords(segment.records(), records))
        return std::nullopt;
    return records;
}

peer::ClaimState ClaimCodec::toWire(ClaimState state)
{
    for (const auto &[plain, wire] : kStates) {
        if (plain == state)
            return wire;
    }
    return peer::CLAIM_STATE_UNSPECIFIED;
}

std::optional<ClaimState> ClaimCodec::fromWire(peer::ClaimState state)
{
    return findWire(kStates, state);
}

peer::ClaimVerdict ClaimCodec::toWire(ClaimVerdict verdict)
{
    for (const auto &[plain, wire] : kVerdicts) {
        if (plain == verdict)
            return wire;
    }
    return peer::CLAIM_VERDICT_UNSPECIFIED;
}

std::optional<ClaimVerdict> ClaimCodec::fromWire(peer::ClaimVerdict verdict)
{
    return findWire(kVerdicts, verdict);
}

} // namespace hawthornslip
