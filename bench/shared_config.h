#pragma once

#include "bench/scenario.h"
#include "tests/standins/fleet.h"

#include <string>

namespace hawthornslip::bench {

/**
 * Makes the shared configuration of a run from the example of the deployment: its profiles with the
 * time-scaled targets of the scenario, its workspaces with rates that leave the decision to the
 * scheduler, and the stand-ins as upstreams.
 *
 * @throws std::runtime_error when the example cannot be read or lacks a profile of the scenario.
 */
std::string makeSharedConfig(const std::string &root, const Scenario &scenario,
                             standin::Fleet &fleet);

/** @return for each class of the scenario whether the example says that it may run only once. */
std::vector<bool> onceOnlyClasses(const std::string &sharedConfig, const Scenario &scenario);

} // namespace hawthornslip::bench
