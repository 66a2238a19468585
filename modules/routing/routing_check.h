#pragma once

#include "core/enum_names.h"
#include "modules/routing/routing_config.h"

#include <string>
#include <vector>

namespace hawthornslip {

/** What is wrong with an entry of a routing configuration. */
enum class RoutingFlaw {
    /** No request ever reaches the entry. */
    NeverMatches,
    /** The entry names something that the configuration does not define. */
    Undefined,
    /** Two entries claim the same name or key. */
    Duplicate,
    /** Two limits or objectives cannot both hold. */
    Contradiction,
    /** A value that no request can be served with. */
    Unusable,
    /** A less urgent route has the shorter objective at the same service. */
    InvertedPriority,
    /** The entry has no effect. */
    Unused,
};

inline constexpr EnumNames<RoutingFlaw, 7> kRoutingFlawNames = {{
        {RoutingFlaw::NeverMatches, "never_matches"},
        {RoutingFlaw::Undefined, "undefined"},
        {RoutingFlaw::Duplicate, "duplicate"},
        {RoutingFlaw::Contradiction, "contradiction"},
        {RoutingFlaw::Unusable, "unusable"},
        {RoutingFlaw::InvertedPriority, "inverted_priority"},
        {RoutingFlaw::Unused, "unused"},
}};

/** A flaw of one entry. */
struct RoutingFinding
{
    RoutingFlaw flaw = RoutingFlaw::Unusable;
    /** Nodes accept the configuration, but some requests are not served as it says. */
    bool isError = true;
    /** The entry, for example `routes[2].timeout`. */
    std::string path;
    std::string message;
};

/**
 * Checks a configuration that nodes can read for entries that contradict each other or have no
 * effect, before it is sent.
 *
 * @return the findings in the order of the entries.
 */
std::vector<RoutingFinding> checkRouting(const RoutingConfig &config);

} // namespace hawthornslip
