#pragma once

#include "modules/placement/placement_types.h"

#include <optional>
#include <string>

namespace hawthornslip {

/** @return @p state as the JSON value of the object `placement/<domain>`. */
std::string encodePlacement(const PlacementState &state);

/** @return the state in @p text, or nothing when it is not one. */
std::optional<PlacementState> decodePlacement(const std::string &text);

/** @return @p order as the JSON body of `POST /orders`. */
std::string encodeOrder(const UpstreamOrder &order);

} // namespace hawthornslip
