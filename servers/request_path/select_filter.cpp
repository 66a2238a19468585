#include "servers/request_path/select_filter.h"

#include "servers/request_path/request_context.h"
#include "servers/request_path/request_run.h"

namespace hawthornslip {

boost::leaf::result<void> SelectFilter::process(RequestContext &context)
{
    return context.answered ? boost::leaf::result<void>() : context.run->select();
}

} // namespace hawthornslip
