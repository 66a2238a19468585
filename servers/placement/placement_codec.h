#pragma once

#include "modules/placement/placement_types.h"

#include <optional>
#include <string>

namespace hawthornslip {

/** @return @p state as the JSON value of the object `placement/<domain>`. */
std::string encodePlacement(const PlacementState &state);

/** @return the state decoded from @p text, or nothing if it is invalid. */
std::optional<PlacementState> decodePlacement(const std::string &text);

/** @return @p order as the JSON body of `POST /orders`. */
std::string encodeOrder(const UpstreamOrder &order);

} // namespace hawthornslip
