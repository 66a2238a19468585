#pragma once

#include "modules/routing/routing_config.h"

#include <string>
#include <vector>

namespace hawthornslip {

/**
 * Compares two configurations by meaning: entries are matched by what identifies them (a route by
 * host and prefix, services and workspaces by name), whatever their order.
 *
 * @return a line for each difference; keys of workspaces are counted, not shown.
 */
std::vector<std::string> diffRouting(const RoutingConfig &before, const RoutingConfig &after);

} // namespace hawthornslip
