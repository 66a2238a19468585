#pragma once

#include "modules/peers/peer_loads.h"

#include <optional>
#include <string>

namespace hawthornslip {

/** @return @p report as the bytes of a message. */
std::string encodeReport(const PeerReport &report);

/** @return the report in @p bytes, or nothing when they are no report. */
std::optional<PeerReport> decodeReport(const std::string &bytes);

} // namespace hawthornslip
