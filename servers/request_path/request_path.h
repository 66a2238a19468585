#pragma once

#include "servers/request_path/filter_chain.h"
#include "servers/request_path/path_services.h"
#include "servers/request_path/request_context.h"

#include <memory>

namespace hawthornslip {

/** Processes requests with a chain of filters. */
class RequestPath
{
public:
    explicit RequestPath(const PathServices &services);

    RequestPath(const RequestPath &) = delete;
    RequestPath &operator=(const RequestPath &) = delete;

    /**
     * Handles a request. Blocks until the answer is complete or a stream has started; a streamed
     * answer owns the context until it ends.
     *
     * @param context holds what the listener received; the filters set the rest.
     */
    HttpResponse handle(std::unique_ptr<RequestContext> context) const;

    /** Authenticates a request that is handled without an upstream. */
    boost::leaf::result<void> authenticate(RequestContext &context) const;

    const PathServices &services() const { return m_services; }

private:
    void process(RequestContext &context) const;

    const PathServices m_services;
    std::unique_ptr<Filter> m_authenticate;
    FilterChain m_chain;
};

} // namespace hawthornslip
