#pragma once

#include "modules/peers/peer_loads.h"

#include <optional>
#include <string>

namespace hawthornslip {

/** @return @p report as a serialized gateway::LoadReport; times become ages at @p now. */
std::string encodeReport(const PeerReport &report, TimePoint now);

/** @return the report in @p bytes, or std::nullopt when they are malformed. */
std::optional<PeerReport> decodeReport(const std::string &bytes, TimePoint now);

} // namespace hawthornslip
