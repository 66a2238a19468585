#include "servers/request_path/relay_filter.h"

#include "servers/request_path/request_context.h"
#include "servers/request_path/request_run.h"

namespace hawthornslip {

boost::leaf::result<void> RelayFilter::process(RequestContext &context)
{
    return context.answered ? boost::leaf::result<void>() : context.run->awaitAnswer();
}

} // namespace hawthornslip
