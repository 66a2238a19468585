#pragma once

#include "modules/claims/claim_types.h"
#include "peer.pb.h"

#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

/** Converts claims between the types of modules/claims and those of proto/peer.proto. */
class ClaimCodec
{
public:
    /** @return @p data as the value of the object `claims/<shard>`. */
    static std::string encodeShard(const ClaimShardData &data);

    /** @return the contents of a shard's object, or nothing when @p value is not valid. */
    static std::optional<ClaimShardData> decodeShard(const std::string &value);

    /** @return @p records as the value of a sealed segment. */
    static std::string encodeSegment(const std::vector<ClaimRecord> &records);

    /** @return the records of a segment, or nothing when @p value is empty or not valid. */
    static std::optional<std::vector<ClaimRecord>> decodeSegment(const std::string &value);

    static peer::ClaimState toWire(ClaimState state);
    /** @return the state, or nothing when this version does not know it. */
    static std::optional<ClaimState> fromWire(peer::ClaimState state);

    static peer::ClaimVerdict toWire(ClaimVerdict verdict);
    /** @return the verdict, or nothing when this version does not know it. */
    static std::optional<ClaimVerdict> fromWire(peer::ClaimVerdict verdict);
};

} // namespace hawthornslip
