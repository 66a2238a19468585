#pragma once

#include "servers/request_path/filter_chain.h"
#include "servers/request_path/path_services.h"
#include "servers/request_path/request_context.h"

#include <memory>

namespace hawthornslip {

/** The whole path of a request: the filters in their order, and what they use. */
class RequestPath
{
public:
    explicit RequestPath(const PathServices &services);

    RequestPath(const RequestPath &) = delete;
    RequestPath &operator=(const RequestPath &) = delete;

    /**
     * Handles a request whose listener part is filled in. Blocks until the answer is whole or a
     * stream has begun; the answer of a stream keeps the context until it ends.
     */
    HttpResponse handle(std::unique_ptr<RequestContext> context) const;

    /** Checks the key of a request that needs no upstream. */
    boost::leaf::result<void> authenticate(RequestContext &context) const;

    const PathServices &services() const { return m_services; }

private:
    void process(RequestContext &context) const;

    const PathServices m_services;
    std::unique_ptr<Filter> m_authenticate;
    FilterChain m_chain;
};

} // namespace hawthornslip
