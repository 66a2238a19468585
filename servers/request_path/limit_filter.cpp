#include "servers/request_path/limit_filter.h"

#include "servers/request_path/request_context.h"

#include <boost/leaf/error.hpp>

namespace hawthornslip {

boost::leaf::result<void> LimitFilter::process(RequestContext &context)
{
    if (context.http.body.size() > m_services.settings.maxBodyBytes)
        return boost::leaf::new_error(
                RequestError{Reason::BodyTooLarge, Execution::NotRun, "the body is too large"});
    const auto wait = m_services.rates.take(*context.workspace, m_services.clock.now());
    if (!wait)
        return {};
    return boost::leaf::new_error(RequestError{Reason::RateLimited, Execution::NotRun,
                                               "the workspace sends too many requests", *wait});
}

} // namespace hawthornslip
