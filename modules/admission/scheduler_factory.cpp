#include "modules/admission/scheduler_factory.h"

#include "modules/admission/fifo_scheduler.h"
#include "modules/admission/tiered_scheduler.h"

namespace hawthornslip {

std::unique_ptr<GroupScheduler> makeScheduler(SchedulingPolicy policy,
                                              const SchedulerOptions &options)
{
    if (policy == SchedulingPolicy::Hawthornslip)
        return std::make_unique<TieredScheduler>(options);
    return std::make_unique<FifoScheduler>(options, policy);
}

} // namespace hawthornslip
