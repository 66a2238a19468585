#include "servers/request_path/authenticate_filter.h"

#include "servers/request_path/request_context.h"
#include "servers/security/key_hasher.h"

#include <boost/leaf/error.hpp>

namespace hawthornslip {

boost::leaf::result<void> AuthenticateFilter::process(RequestContext &context)
{
    context.config = m_services.config.current();
    // Without a configuration every valid key would be rejected as unauthenticated.
    if (context.config->generation == 0 && context.config->workspaces.empty())
        return boost::leaf::new_error(RequestError{Reason::NotReady, Execution::NotRun,
                                                   "the node has no configuration yet",
                                                   seconds(1)});
    const auto *header = context.http.header("authorization");
    const auto key = header == nullptr ? std::string_view() : KeyHasher::bearerKey(*header);
    if (!key.empty())
        context.workspace = m_index.get(context.config)->find(key);
    if (context.workspace != nullptr)
        return {};
    return boost::leaf::new_error(
            RequestError{Reason::Unauthenticated, Execution::NotRun,
                         "the request needs the key of a workspace as a bearer token"});
}

} // namespace hawthornslip
