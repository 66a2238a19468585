#pragma once

#include "servers/request_path/request_error.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string_view>
#include <vector>

namespace hawthornslip {

struct RequestContext;

/** A stage of request processing. Shared by all requests, so it must hold no request state. */
class Filter
{
public:
    virtual ~Filter() = default;

    /** @return the name of the stage, for logs and metrics. */
    virtual std::string_view name() const = 0;

    /** Processes @p context; a RequestError as result ends the request. */
    virtual boost::leaf::result<void> process(RequestContext &context) = 0;

    /**
     * Called once the answer was sent or the caller disconnected, in reverse order of the filters.
     * Also called for filters that were not reached, so that refused requests are accounted too.
     */
    virtual void finish(RequestContext & /*context*/) {}
};

/** Runs a list of filters on each request. */
class FilterChain
{
public:
    /** Appends @p filter; all filters must be added before the first request. */
    void add(std::unique_ptr<Filter> filter);

    /**
     * Runs the filters until one fails.
     *
     * @return nothing, or the RequestError of the filter that failed.
     */
    boost::leaf::result<void> process(RequestContext &context) const;

    /** Calls finish() of all filters in reverse order; required once after process(). */
    void finish(RequestContext &context) const;

private:
    std::vector<std::unique_ptr<Filter>> m_filters;
};

} // namespace hawthornslip
