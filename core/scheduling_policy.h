#pragma once

#include "core/enum_names.h"

namespace hawthornslip {

/** How a group's owner schedules requests; the last two are baselines with one FIFO queue. */
enum class SchedulingPolicy { Hawthornslip, RoundRobin, LeastInFlight };

inline constexpr EnumNames<SchedulingPolicy, 3> kSchedulingPolicyNames = {{
        {SchedulingPolicy::Hawthornslip, "hawthornslip"},
        {SchedulingPolicy::RoundRobin, "round_robin"},
        {SchedulingPolicy::LeastInFlight, "least_in_flight"},
}};

} // namespace hawthornslip
