#pragma once

#include "core/scheduling_policy.h"
#include "modules/admission/group_scheduler.h"
#include "modules/admission/scheduler_options.h"

#include <memory>

namespace hawthornslip {

/** @return a scheduler of @p policy. */
std::unique_ptr<GroupScheduler> makeScheduler(SchedulingPolicy policy,
                                              const SchedulerOptions &options);

} // namespace hawthornslip
