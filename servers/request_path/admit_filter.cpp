#include "servers/request_path/admit_filter.h"

#include "servers/request_path/request_context.h"
#include "servers/request_path/request_run.h"

namespace hawthornslip {

boost::leaf::result<void> AdmitFilter::process(RequestContext &context)
{
    if (context.answered)
        return {};
    context.run = std::make_unique<RequestRun>(context, m_services);
    return context.run->admit();
}

} // namespace hawthornslip
